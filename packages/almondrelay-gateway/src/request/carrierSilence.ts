import { putBounded } from './putBounded.js'

/** Bounds of the time for an acknowledgement, as it is learnt, and its ratio to a host's mean time. */
const MAX_TIMEOUT_MS = 400
const TIMEOUT_RATIO = 4
/** Milliseconds to wait for the last host that is left: giving up on it early gains nothing. */
const LAST_TIMEOUT_MS = 500
/** Weight of one acknowledgement in a host's mean time. */
const MEAN_GAIN = 0.25
/** Milliseconds after which a silence ends if no further call confirms it; longer than one probe. */
const SILENCE_MS = 3_000
/** Maximum hosts that are kept: twice those of the largest fleet. */
const MAX_HOSTS = 10_000

interface HostSigns {
  /** Time of the last acknowledgement, in monotonic milliseconds. */
  acknowledgedAt: number
  /** Mean milliseconds from a call to its acknowledgement; undefined before the first. */
  meanMs: number | undefined
  /** End of the silence, in monotonic milliseconds; -Infinity if the host isn't silent. */
  silentUntil: number
}

/**
 * Decides which other hosts are silent: their kernels accept connections, and their processes don't run. It takes the load of a host
 * that has lost its links and sends all its attempts by way of others, 4 to 20 a second and 40 at most per carrier.
 *
 * A host acknowledges a call as soon as it reads its head. It is silent once a call has waited too long while no call begun since was
 * acknowledged, and until it acknowledges a probe. The time allowed follows the host's own times, so that a slow host isn't taken for a
 * stopped one again and again.
 */
export class CarrierSilence {
  private readonly hosts = new Map<string, HostSigns>()

  /** Returns the milliseconds within which a host must acknowledge a call. */
  computeTimeout (host: string, minMs: number, isLast: boolean): number {
    const learntMs = TIMEOUT_RATIO * (this.hosts.get(host)?.meanMs ?? 0)
    return Math.max(minMs, learntMs, isLast ? LAST_TIMEOUT_MS : 0)
  }

  /** Records an acknowledgement. Returns whether it ended a silence. */
  observeAcknowledgement (host: string, calledAt: number, now: number): boolean {
    const wasSilent = this.isSilent(host, now)
    const sampleMs = Math.min(now - calledAt, MAX_TIMEOUT_MS / TIMEOUT_RATIO)
    const known = this.hosts.get(host)?.meanMs ?? sampleMs
    putBounded(this.hosts, host, { acknowledgedAt: now, meanMs: known + (sampleMs - known) * MEAN_GAIN, silentUntil: -Infinity }, MAX_HOSTS)
    return wasSilent
  }

  /** Records that a call was given up without an acknowledgement. Returns whether a silence began. */
  observeUnacknowledged (host: string, calledAt: number, now: number): boolean {
    const known = this.hosts.get(host)
    // A call that was acknowledged meanwhile shows that the process runs.
    if (known !== undefined && known.acknowledgedAt >= calledAt) return false
    const wasSilent = this.isSilent(host, now)
    putBounded(this.hosts, host, { acknowledgedAt: -Infinity, meanMs: known?.meanMs, silentUntil: now + SILENCE_MS }, MAX_HOSTS)
    return !wasSilent
  }

  /** Forgets a host whose address refuses or resets connections: its process has ended, and a new one may run there. */
  drop (host: string): void {
    this.hosts.delete(host)
  }

  isSilent (host: string, now: number): boolean {
    return now < (this.hosts.get(host)?.silentUntil ?? -Infinity)
  }
}
