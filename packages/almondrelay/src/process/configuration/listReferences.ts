import { match } from 'ts-pattern'
import type { Resource } from '../../version/resources/resource.js'
import type { Reference } from './reference.js'

type To = Reference['to']

/** Lists all references of a resource to objects that must exist. */
export function listReferences (resource: Resource): Reference[] {
  return match(resource)
    .with({ kind: 'Region' }, () => [])
    .with({ kind: 'Service' }, ({ spec }) => spec.targets.map((target, index) => makeReference(`spec.targets.${index}.availabilityZone`, 'availabilityZone', target.availabilityZone)))
    .with({ kind: 'Link' }, ({ spec }) => listRegions(spec))
    .with({ kind: 'ShiftCap' }, ({ spec }) => [...listRegions(spec), ...listService(spec.service)])
    .with({ kind: 'SteeringPolicy' }, ({ spec }) => [
      ...listService(spec.service),
      ...(spec.from === '*' ? [] : [makeReference('spec.from', 'Region', spec.from)]),
      ...Object.keys(spec.weights).map((region) => makeReference(`spec.weights.${region}`, 'Region', region))
    ])
    .with({ kind: 'Drain' }, ({ spec }) => match(spec)
      .with({ scope: 'region' }, ({ name }) => [makeReference('spec.name', 'Region', name)])
      .with({ scope: 'availabilityZone' }, ({ name }) => [makeReference('spec.name', 'availabilityZone', name)])
      .with({ scope: 'target' }, ({ name, service }) => [
        ...listService(service),
        { path: 'spec.name', to: 'target' as const, name, service: service ?? '', isLoose: true }
      ])
      .exhaustive())
    .exhaustive()
}

function makeReference (path: string, to: To, name: string): Reference {
  return { path, to, name, isLoose: false }
}

function listRegions (spec: { from: string, to: string }): Reference[] {
  return [makeReference('spec.from', 'Region', spec.from), makeReference('spec.to', 'Region', spec.to)]
}

function listService (service: string | undefined): Reference[] {
  return service === undefined ? [] : [makeReference('spec.service', 'Service', service)]
}
