import type { DeclaredSteering } from '../version/declaredSteering.js'

/**
 * This host's part of what may run in other regions under the caps that operators set.
 *
 * Answers a large shift that would fill the links between regions: what is over the cap stays, and is served or
 * refused at home. The cap is divided evenly by the region's hosts, without a message between them, so that the sum
 * holds also while they don't hear each other; a host that doesn't know its fleet takes nothing.
 */
export class ShiftCapUse {
  /** Requests that run in each region, by service. */
  private readonly running = new Map<string, Map<string, number>>()

  /** @param hosts hosts of this region that may send; undefined while they aren't known */
  allow (steering: DeclaredSteering, service: string, region: string, hosts: number | undefined): boolean {
    return steering.listCaps(service, region).every((cap) => {
      const part = hosts === undefined ? 0 : Math.floor(cap.maxInFlight / hosts)
      return this.countRunning(region, cap.service) < part
    })
  }

  begin (service: string, region: string): void {
    this.add(service, region, 1)
  }

  finish (service: string, region: string): void {
    this.add(service, region, -1)
  }

  /** @param service undefined for all services together */
  countRunning (region: string, service?: string): number {
    const services = this.running.get(region)
    if (services === undefined) return 0
    if (service !== undefined) return services.get(service) ?? 0
    return [...services.values()].reduce((sum, count) => sum + count, 0)
  }

  private add (service: string, region: string, change: number): void {
    const services = this.running.get(region) ?? new Map<string, number>()
    this.running.set(region, services)
    services.set(service, (services.get(service) ?? 0) + change)
  }
}
