import type { TargetEntry } from '../request/targetEntry.js'
import { ConnectFailure } from './connectFailure.js'
import type { ConnectionParts } from './connectionParts.js'
import type { ConnectResult } from './connectResult.js'
import { TargetConnection } from './targetConnection.js'

interface PoolObserver {
  countOpened: () => void
  /** Milliseconds that a new connection took. */
  observeConnect: (durationMs: number) => void
  /** @param isUnconnected whether no other connection to the target stands */
  observeFailure: (failure: ConnectFailure, isUnconnected: boolean) => void
}

/** Connections to one target; a free one is used again, the latest first, so that the others run out by themselves. */
export class TargetPool {
  private readonly connections: TargetConnection[] = []
  private isClosed = false

  constructor (private readonly parts: ConnectionParts, private readonly observer: PoolObserver) {}

  /** Whether no connection to the target stands. */
  get isUnconnected (): boolean {
    return this.connections.every(({ isClosed }) => isClosed)
  }

  /** A free connection, or a new one, held for one request; a failure where none can be had within the timeout, in milliseconds. */
  async acquire (entry: TargetEntry, timeoutMs: number): Promise<ConnectResult> {
    if (this.isClosed) return { kind: 'failed', failure: ConnectFailure.targetLeft }
    const free = this.findFree(this.parts.getNow())
    if (free === undefined) return this.open(entry, timeoutMs)
    free.take()
    return { kind: 'connected', connection: free }
  }

  private async open (entry: TargetEntry, timeoutMs: number): Promise<ConnectResult> {
    this.observer.countOpened()
    const startedAt = this.parts.getNow()
    const opened = await TargetConnection.open(entry.ip, entry.port, timeoutMs, this.parts, () => { this.pruneClosed() })
    if (opened.kind === 'failed') {
      this.observer.observeFailure(opened.failure, this.isUnconnected)
      return opened
    }
    // A target that left, or was started again, while the connection was being opened gets nothing through it.
    if (this.isClosed) {
      opened.connection.close('target left')
      return { kind: 'failed', failure: ConnectFailure.targetLeft }
    }
    this.observer.observeConnect(this.parts.getNow() - startedAt)
    this.connections.push(opened.connection)
    return opened
  }

  /** Opens one more connection to see whether anybody listens; it is kept for requests to come. */
  async probe (entry: TargetEntry, timeoutMs: number): Promise<ConnectResult> {
    if (this.isClosed) return { kind: 'failed', failure: ConnectFailure.targetLeft }
    const opened = await this.open(entry, timeoutMs)
    if (opened.kind === 'connected') opened.connection.release()
    return opened
  }

  /** Closes what has been unused for too long. */
  closeIdle (now: number): void {
    for (const connection of [...this.connections]) {
      if (!connection.isBusy && !connection.isUsable(now)) connection.close('unused')
    }
  }

  /** Takes no new requests; those that are out go on. */
  closeWhenFree (): void {
    this.isClosed = true
    for (const connection of [...this.connections]) connection.closeWhenFree('target left')
  }

  /** Ends every connection; requests that are out are given up. */
  closeAll (reason: string): void {
    this.isClosed = true
    for (const connection of [...this.connections]) connection.close(reason)
  }

  private findFree (now: number): TargetConnection | undefined {
    for (let index = this.connections.length - 1; index >= 0; index -= 1) {
      const connection = this.connections[index]
      if (connection?.isUsable(now) === true) return connection
    }
    return undefined
  }

  private pruneClosed (): void {
    for (let index = this.connections.length - 1; index >= 0; index -= 1) {
      if (this.connections[index]?.isClosed === true) this.connections.splice(index, 1)
    }
  }
}
