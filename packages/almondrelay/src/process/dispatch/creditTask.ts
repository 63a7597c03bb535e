import { Code, ConnectError } from '@connectrpc/connect'
import { RefusalReason } from '../../request/refusalReason.js'
import type { Clock } from '../platform/clock.js'
import type { HeldCredit } from './heldCredit.js'
import type { HostDirectory } from './hostDirectory.js'
import { isConnectionRefused } from './isConnectionRefused.js'
import type { KnownHost } from './knownHost.js'
import type { RegionQueue } from './regionQueue.js'
import type { PeerLinks } from './peerLinks.js'
import type { PeerSender } from './peerSender.js'

interface CreditTaskParts {
  clock: Clock
  directory: HostDirectory
  links: PeerLinks
  sender: PeerSender
  /** Lists the peers to ask for credits, best first. */
  rankPeers: (regionQueue: RegionQueue, now: number) => KnownHost[]
  signal: AbortSignal
}

/** Timeout of one call about credits, in milliseconds: nearly three round trips between the farthest regions (110 ms). */
const CREDIT_TIMEOUT_MS = 300
const MAX_CREDITS_PER_CALL = 32
/**
 * Bounds of the delay after no peer granted a credit, in milliseconds. The delay starts short, so that a newly freed slot
 * is used soon, and doubles, so that peers without free slots aren't flooded with calls.
 */
const MIN_RETRY_DELAY_MS = 20
const MAX_RETRY_DELAY_MS = 500

/** Requests credits from peers while requests wait in a queue; each queue has one task. */
export class CreditTask {
  private wakeUp: (() => void) | undefined

  constructor (private readonly regionQueue: RegionQueue, private readonly parts: CreditTaskParts) {}

  wake (): void {
    this.wakeUp?.()
  }

  async run (): Promise<void> {
    const { signal } = this.parts
    let retryDelayMs = MIN_RETRY_DELAY_MS
    while (!signal.aborted) {
      if (this.regionQueue.countWantedCredits() === 0) await this.waitForWake()
      if (signal.aborted) return
      const granted = await this.requestFromPeers()
      if (granted > 0) {
        retryDelayMs = MIN_RETRY_DELAY_MS
        continue
      }
      await this.parts.clock.sleep(retryDelayMs, signal)
      retryDelayMs = Math.min(retryDelayMs * 2, MAX_RETRY_DELAY_MS)
      if (this.regionQueue.countWantedCredits() === 0) retryDelayMs = MIN_RETRY_DELAY_MS
    }
  }

  async returnCredits (credits: HeldCredit[]): Promise<void> {
    const { directory, links, sender, signal } = this.parts
    for (const host of new Set(credits.map((credit) => credit.host))) {
      const peer = directory.find(host)
      const creditIds = credits.filter((credit) => credit.host === host).map((credit) => credit.id)
      // A failed call is harmless: the credit lapses on the host that granted it.
      if (peer !== undefined) await links.get(peer.peerAddress).returnCredits({ sender, creditIds }, { signal, timeoutMs: CREDIT_TIMEOUT_MS }).catch(() => undefined)
    }
  }

  private async requestFromPeers (): Promise<number> {
    const { rankPeers, clock, signal } = this.parts
    let granted = 0
    for (const peer of rankPeers(this.regionQueue, clock.getNow())) {
      const wanted = Math.min(MAX_CREDITS_PER_CALL, this.regionQueue.countWantedCredits())
      if (wanted === 0 || signal.aborted) break
      granted += await this.requestFromPeer(peer, wanted)
    }
    return granted
  }

  private async requestFromPeer (peer: KnownHost, wanted: number): Promise<number> {
    const { clock, links, sender, signal } = this.parts
    // The validity counts from before the call was sent, so that a slow answer doesn't extend it.
    const sentAt = clock.getNow()
    try {
      const response = await links.get(peer.peerAddress).requestCredits({ sender, service: this.regionQueue.service, wanted }, { signal, timeoutMs: CREDIT_TIMEOUT_MS })
      const credits = response.credits.map((credit) => ({ id: credit.id, host: peer.name, target: credit.target, expiresAt: sentAt + response.validMs }))
      if (credits.length === 0) this.regionQueue.observeShortage((response.reason || RefusalReason.noCredit) as RefusalReason)
      else this.regionQueue.addCredits(credits)
      return credits.length
    } catch (error) {
      this.observeError(peer, error)
      this.regionQueue.observeShortage(RefusalReason.noCredit)
      return 0
    }
  }

  /**
   * Records a refused connection, and drops a connection after a timeout. A dead connection is otherwise detected only by
   * pings, which takes longer than a request may wait in the queue, and all requests would wait for credits meanwhile. A
   * peer needs no target to answer a call about credits, so a timeout indicates a dead connection. Attempts that were sent
   * on the connection are fenced.
   */
  private observeError (peer: KnownHost, error: unknown): void {
    if (isConnectionRefused(error)) this.parts.directory.observeRefused(peer.name, peer.incarnation)
    else if (error instanceof ConnectError && error.code === Code.DeadlineExceeded) this.parts.links.drop(peer.peerAddress)
  }

  private waitForWake (): Promise<void> {
    const { signal } = this.parts
    return new Promise((resolve) => {
      const finish = (): void => {
        this.wakeUp = undefined
        signal.removeEventListener('abort', finish)
        resolve()
      }
      this.wakeUp = finish
      signal.addEventListener('abort', finish, { once: true })
    })
  }
}
