import { match } from 'ts-pattern'
import type { Configuration } from '../../version/configuration.js'
import type { Reference } from './reference.js'

/** Index of the objects of one configuration that references may name. */
export class ReferenceIndex {
  private readonly zones: ReadonlySet<string>

  constructor (private readonly configuration: Configuration) {
    this.zones = new Set(configuration.list('Region').flatMap((region) => region.spec.availabilityZones))
  }

  has (reference: Reference): boolean {
    return match(reference.to)
      .with('Region', () => this.configuration.get('Region', reference.name) !== undefined)
      .with('Service', () => this.configuration.get('Service', reference.name) !== undefined)
      .with('availabilityZone', () => this.zones.has(reference.name))
      .with('target', () => this.hasTarget(reference.service ?? '', reference.name))
      .exhaustive()
  }

  private hasTarget (service: string, name: string): boolean {
    const targets = this.configuration.get('Service', service)?.spec.targets ?? []
    return targets.some((target) => target.name === name)
  }
}
