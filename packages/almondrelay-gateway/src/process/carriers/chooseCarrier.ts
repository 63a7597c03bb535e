import { isAllowedRegion } from '../../version/isAllowedRegion.js'
import type { HostEntry } from '../fleet/hostEntry.js'

interface CarrierContext {
  own: HostEntry
  /** Availability zone and region of the target. */
  target: { availabilityZone: string, region: string }
  /** Regions through which the request may pass; empty where all regions are allowed. */
  allowedRegions: readonly string[]
  /** Whether the host may reach targets of that zone and isn't known to refuse attempts now. */
  isUsable: (host: HostEntry) => boolean
  /** Returns the attempts that the host carries for this one now. */
  countCarried: (host: HostEntry) => number
  random: () => number
}

/**
 * Chooses the host by way of which an attempt is sent to a target; undefined where no host is left.
 *
 * A host of the own availability zone or of the target's adds no crossing between zones to the direct way, so these come first, then
 * those of both regions, then others. Of two drawn at random the one that carries less is taken, which spreads the attempts of a host,
 * and of many hosts that are cut off together, without any exchange of load.
 */
export function chooseCarrier (hosts: readonly HostEntry[], context: CarrierContext): HostEntry | undefined {
  const { own, target, allowedRegions, isUsable } = context
  const usable = hosts.filter((host) => host.name !== own.name && isAllowedRegion(host.region, allowedRegions) && isUsable(host))
  const onTheWay = usable.filter(({ availabilityZone }) => availabilityZone === own.availabilityZone || availabilityZone === target.availabilityZone)
  if (onTheWay.length > 0) return pickLessLoaded(onTheWay, context)
  const nearby = usable.filter(({ region }) => region === own.region || region === target.region)
  return pickLessLoaded(nearby.length > 0 ? nearby : usable, context)
}

const pickLessLoaded = (hosts: readonly HostEntry[], { countCarried, random }: CarrierContext): HostEntry | undefined => {
  const pickAny = (): HostEntry | undefined => hosts[Math.floor(random() * hosts.length)]
  const [one, other] = [pickAny(), pickAny()]
  if (one === undefined || other === undefined) return one
  return countCarried(other) < countCarried(one) ? other : one
}
