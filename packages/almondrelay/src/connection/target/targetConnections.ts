import { randomBytes } from 'node:crypto'
import type { Clock } from '../../process/platform/clock.js'
import { TargetSender } from '../../process/dispatch/targetSender.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import type { TargetReply } from '../../request/targetReply.js'
import { TargetConnection } from './targetConnection.js'
import type { TargetObserver } from './targetObserver.js'

interface IdleConnection {
  connection: TargetConnection
  /** Monotonic time in milliseconds at which the target last sent bytes. */
  lastActiveAt: number
}

/** An idle connection is reused only this long after its last bytes; an older one may have failed without notice. */
const MAX_REUSE_IDLE_MS = 1_000
const MAX_IDLE_CONNECTIONS_PER_TARGET = 64
/** Send ids of two processes that share a target differ, and none can be guessed from another process's. */
const SEND_ID_PREFIX_BYTES = 8

/**
 * Connections to targets, one request at a time on each.
 *
 * Failure: an open connection can stop delivering packets for good while new connections work. A request sent on
 * it is never answered, and it is unknown whether the request ran. A request is therefore sent only on a
 * connection that received bytes within MAX_REUSE_IDLE_MS, or on a new one, which costs about 1 ms.
 * A connection whose answer is no longer awaited is destroyed, so that a late answer can't be taken for that of a later request.
 * A connection is reused only if the target echoed the send id in its last answer; see docs/design/own-target-answers.md.
 */
export class TargetConnections extends TargetSender {
  private readonly idle = new Map<string, IdleConnection[]>()
  private readonly sendIdPrefix = randomBytes(SEND_ID_PREFIX_BYTES).toString('hex')
  private sendCount = 0

  constructor (private readonly clock: Clock, private readonly observer: TargetObserver) {
    super()
  }

  override async send (address: string, request: TargetRequest, signal: AbortSignal): Promise<TargetReply> {
    const connection = this.take(address, this.clock.getNow()) ?? new TargetConnection(address, this.observer)
    this.sendCount += 1
    const result = await connection.send(request, `${this.sendIdPrefix}-${this.sendCount}`, signal)
    const isAnswerRead = result.kind === 'answered' || result.kind === 'shed'
    if (isAnswerRead && connection.isReusable()) this.addIdle(address, connection)
    else void connection.close()
    return result
  }

  async close (): Promise<void> {
    const connections = [...this.idle.values()].flat().map((each) => each.connection)
    this.idle.clear()
    await Promise.all(connections.map((connection) => connection.close()))
  }

  /** Takes the connection that was used last, leaving out those that the target has closed. */
  private take (address: string, now: number): TargetConnection | undefined {
    const connections = this.idle.get(address)
    for (let newest = connections?.pop(); newest !== undefined; newest = connections?.pop()) {
      const isRecent = now - newest.lastActiveAt <= MAX_REUSE_IDLE_MS
      if (isRecent && newest.connection.isReusable()) return newest.connection
      void newest.connection.close()
      if (!isRecent) this.closeIdle(address)
    }
    return undefined
  }

  private addIdle (address: string, connection: TargetConnection): void {
    let connections = this.idle.get(address) ?? []
    if (connections.length >= MAX_IDLE_CONNECTIONS_PER_TARGET) connections = connections.filter((each) => each.connection.isReusable())
    if (connections.length < MAX_IDLE_CONNECTIONS_PER_TARGET) connections.push({ connection, lastActiveAt: this.clock.getNow() })
    else void connection.close()
    this.idle.set(address, connections)
  }

  /** Destroys all idle connections to a target; called when the most recently used one is too old, so the others are too. */
  private closeIdle (address: string): void {
    for (const each of this.idle.get(address) ?? []) void each.connection.close()
    this.idle.delete(address)
  }
}
