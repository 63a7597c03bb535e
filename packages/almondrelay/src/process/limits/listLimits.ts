import type { Configuration } from '../../version/configuration.js'
import { ResourceKind } from '../../version/resources/resourceKind.js'
import { LimitKind } from './limitKind.js'
import type { LimitSpec } from './limitSpec.js'

/** Lists the limits on work that runs in a region. */
export function listLimits (configuration: Configuration, region: string): LimitSpec[] {
  const own = configuration.get(ResourceKind.region, region)
  const links = configuration.list(ResourceKind.link).filter((link) => link.spec.to === region)
  const caps = configuration.list(ResourceKind.shiftCap).filter((cap) => cap.spec.to === region)
  return [
    ...(own === undefined ? [] : [{ name: `${LimitKind.region}/${region}`, kind: LimitKind.region, maxInFlight: own.spec.maxInFlight }]),
    ...links.map(({ name, spec }) => ({ name: `${LimitKind.link}/${name}`, kind: LimitKind.link, maxInFlight: spec.maxInFlight, fromRegion: spec.from })),
    ...caps.map(({ name, spec }) => ({
      name: `${LimitKind.shift}/${name}`,
      kind: LimitKind.shift,
      maxInFlight: spec.maxInFlight,
      fromRegion: spec.from,
      ...(spec.service === undefined ? {} : { service: spec.service })
    }))
  ]
}
