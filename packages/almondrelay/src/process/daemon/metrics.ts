import { StatsD } from 'hot-shots'
import { splitAddress } from '../../connection/splitAddress.js'
import type { HostSettings } from '../settings/hostSettings.js'

/** Sends metrics over StatsD; sends nothing when the settings name no receiver. */
export class Metrics {
  private readonly client: StatsD | undefined

  constructor (settings: HostSettings, private readonly logError: (error: Error) => void) {
    const { statsd, prefix } = settings.metrics
    if (statsd === undefined) return
    const { host, port } = splitAddress(statsd)
    this.client = new StatsD({
      host,
      port,
      prefix,
      globalTags: { host: settings.host.name, availabilityZone: settings.host.availabilityZone },
      errorHandler: (error) => { this.logError(error) }
    })
  }

  observeAnswer (service: string, outcome: string, reason: string | undefined, durationMs: number): void {
    const tags = { service, outcome, reason: reason ?? 'none' }
    this.client?.increment('answers', 1, tags)
    this.client?.timing('answer.duration', durationMs, tags)
  }

  observeLoad (service: string, waiting: number, running: number): void {
    this.client?.gauge('requests.waiting', waiting, { service })
    this.client?.gauge('requests.running', running, { service })
  }

  observeTargetConnection (target: string): void {
    this.client?.increment('target.connections', 1, { target })
  }

  observeUnprovedAnswer (target: string, identity: string): void {
    this.client?.increment('target.answers.unproved', 1, { target, identity })
  }

  observeClosedClient (port: string, reason: string): void {
    this.client?.increment('clients.closed', 1, { port, reason })
  }

  close (): Promise<void> {
    const { client } = this
    if (client === undefined) return Promise.resolve()
    return new Promise((resolve) => { client.close(() => { resolve() }) })
  }
}
