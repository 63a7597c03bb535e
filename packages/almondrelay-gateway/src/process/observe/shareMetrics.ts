import { Counter, Gauge, type Registry } from 'prom-client'

/** Maximum number of organisations whose share of one service is shown, those that ask for most first. */
const MAX_ORGANISATIONS = 20

interface OrganisationUse {
  organisation: string
  shareMs: number
  askedMs: number
}

/** Metrics of fair shares at overloaded services. */
export class ShareMetrics {
  private readonly refusals: Counter
  private readonly overload: Gauge
  private readonly snapshotAge: Gauge
  private readonly work: Gauge
  private readonly shown = new Map<string, string[]>()

  constructor (registry: Registry) {
    const registers = [registry]
    this.refusals = new Counter({ name: 'almondrelay_share_refusals_total', help: 'Requests refused because their service is overloaded', labelNames: ['service', 'reason'], registers })
    this.overload = new Gauge({ name: 'almondrelay_service_overloaded', help: 'Whether a service is overloaded in the region of this host', labelNames: ['service'], registers })
    this.snapshotAge = new Gauge({ name: 'almondrelay_share_snapshot_age_seconds', help: 'Age of the counts from which the shares of an overloaded service were computed', labelNames: ['service'], registers })
    this.work = new Gauge({ name: 'almondrelay_organisation_work', help: 'Milliseconds of work a second that an organisation beyond its share of an overloaded service asks for, and its share', labelNames: ['service', 'organisation', 'kind'], registers })
  }

  countRefusal (service: string, reason: string): void {
    this.refusals.inc({ service, reason })
  }

  /** @param uses organisations beyond their share; undefined if the service isn't overloaded */
  setShares (service: string, uses: readonly OrganisationUse[] | undefined, ageMs: number): void {
    this.overload.set({ service }, uses === undefined ? 0 : 1)
    this.snapshotAge.set({ service }, ageMs / 1_000)
    for (const organisation of this.shown.get(service) ?? []) for (const kind of ['share', 'use']) this.work.remove({ service, organisation, kind })
    const largest = [...uses ?? []].sort((first, second) => second.askedMs - first.askedMs).slice(0, MAX_ORGANISATIONS)
    for (const { organisation, shareMs, askedMs } of largest) {
      this.work.set({ service, organisation, kind: 'share' }, shareMs)
      this.work.set({ service, organisation, kind: 'use' }, askedMs)
    }
    this.shown.set(service, largest.map(({ organisation }) => organisation))
  }
}
