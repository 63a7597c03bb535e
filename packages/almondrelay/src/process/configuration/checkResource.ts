import { isIP } from 'node:net'
import { match } from 'ts-pattern'
import type { Configuration } from '../../version/configuration.js'
import type { Resource } from '../../version/resources/resource.js'
import { listReferences } from './listReferences.js'
import type { ResourceProblem } from './resourceProblem.js'
import { ReferenceIndex } from './referenceIndex.js'

type RegionResource = Extract<Resource, { kind: 'Region' }>

const MAX_PROBLEMS = 20

/** Lists the problems of a resource within the configuration that would contain it; empty where it is valid. */
export function checkResource (resource: Resource, after: Configuration): ResourceProblem[] {
  const index = new ReferenceIndex(after)
  const missing = listReferences(resource)
    .filter((reference) => !index.has(reference))
    .map((reference) => ({
      path: reference.path,
      found: reference.name,
      remedy: reference.to === 'target'
        ? `name a target of service '${reference.service ?? ''}'; almondrelay get Service lists them`
        : reference.to === 'availabilityZone'
          ? `put the Region that holds availability zone '${reference.name}' first, or name one that a Region holds`
          : `put ${reference.to} '${reference.name}' first, or name one that exists`
    }))
  return [...missing, ...checkKind(resource, after)].slice(0, MAX_PROBLEMS)
}

function checkKind (resource: Resource, after: Configuration): ResourceProblem[] {
  return match(resource)
    .with({ kind: 'Region' }, (region) => [...checkZones(region, after), ...checkBlocks(region)])
    .with({ kind: 'Link' }, { kind: 'ShiftCap' }, ({ spec }) => checkEnds(spec))
    .otherwise(() => [])
}

function checkEnds (spec: { from: string, to: string }): ResourceProblem[] {
  if (spec.from !== spec.to) return []
  return [{ path: 'spec.to', found: spec.to, remedy: 'name another region than spec.from' }]
}

function checkZones (region: RegionResource, after: Configuration): ResourceProblem[] {
  const others = after.list('Region').filter((other) => other.name !== region.name)
  return region.spec.availabilityZones.flatMap((zone, index) => {
    const owner = others.find((other) => other.spec.availabilityZones.includes(zone))
    if (owner === undefined) return []
    return [{ path: `spec.availabilityZones.${index}`, found: zone, remedy: `take it out of Region '${owner.name}' first: an availability zone is in one region` }]
  })
}

function checkBlocks (region: RegionResource): ResourceProblem[] {
  return region.spec.clientBlocks.flatMap((block, index) => isBlock(block)
    ? []
    : [{ path: `spec.clientBlocks.${index}`, found: block.slice(0, 80), remedy: 'write a prefix such as 10.1.0.0/16 or 2001:db8::/32' }])
}

function isBlock (block: string): boolean {
  const [address = '', length = '', ...rest] = block.split('/')
  const family = isIP(address)
  if (family === 0 || rest.length > 0 || !/^\d{1,3}$/.test(length)) return false
  return Number(length) <= (family === 4 ? 32 : 128)
}
