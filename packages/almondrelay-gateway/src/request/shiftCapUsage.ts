import type { DeclaredSteering } from '../version/declaredSteering.js'

/**
 * Limits this host to its share of the requests that may run in other regions under the operators' caps.
 *
 * A large shift could fill the links between regions. Requests above the cap stay, and are served or refused at home. The cap is
 * divided evenly among the region's hosts, without messages between them, so that the sum holds also while they don't receive
 * each other's reports; a host that doesn't know the fleet sends nothing under a cap.
 */
export class ShiftCapUsage {
  /** Number of running requests, by region and service. */
  private readonly running = new Map<string, Map<string, number>>()

  /** @param hosts number of hosts of this region that may send; undefined while it is unknown */
  allow (steering: DeclaredSteering, service: string, region: string, hosts: number | undefined): boolean {
    return steering.listCaps(service, region).every((cap) => {
      const ownShare = hosts === undefined ? 0 : Math.floor(cap.maxInFlight / hosts)
      return this.countRunning(region, cap.service) < ownShare
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
