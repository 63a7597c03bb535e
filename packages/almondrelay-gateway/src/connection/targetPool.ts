import type { TargetEntry } from '../request/targetEntry.js'
import { ConnectFailure } from './connectFailure.js'
import type { ConnectionParts } from './connectionParts.js'
import type { ConnectResult } from './connectResult.js'
import { OpenCause } from './openCause.js'
import { TargetConnection } from './targetConnection.js'

interface PoolObserver {
  countOpened: (cause: OpenCause) => void
  /** Called with the milliseconds that opening a connection took. */
  observeConnect: (durationMs: number) => void
  /** @param isUnconnected whether no other connection to the target is open */
  observeFailure: (failure: ConnectFailure, isUnconnected: boolean) => void
}

/** Pool of connections to one target. The newest free connection is reused first, so that surplus ones become idle and expire. */
export class TargetPool {
  private readonly connections: TargetConnection[] = []
  private isClosed = false
  /** Why the next connection has to be opened if there is none. */
  private closeCause: OpenCause = OpenCause.first

  constructor (private readonly parts: ConnectionParts, private readonly observer: PoolObserver) {}

  /** Whether no connection to the target is open. */
  get isUnconnected (): boolean {
    return this.connections.every(({ isClosed }) => isClosed)
  }

  /** Reserves a free or new connection for one sending of a request; resolves with a failure if none can be opened within `timeoutMs`. */
  async acquire (entry: TargetEntry, timeoutMs: number, requestId: string): Promise<ConnectResult> {
    if (this.isClosed) return { kind: 'failed', failure: ConnectFailure.targetLeft }
    const free = this.findFree(this.parts.getNow(), requestId)
    if (free === undefined) return this.open(entry, timeoutMs, this.findOpenCause())
    free.take()
    return { kind: 'connected', connection: free }
  }

  private async open (entry: TargetEntry, timeoutMs: number, cause: OpenCause, reportsFailure = true): Promise<ConnectResult> {
    this.observer.countOpened(cause)
    const startedAt = this.parts.getNow()
    const opened = await TargetConnection.open(entry.ip, entry.port, timeoutMs, this.parts, (closeCause) => {
      this.closeCause = closeCause
      this.pruneClosed()
    })
    if (opened.kind === 'failed') {
      if (reportsFailure) this.observer.observeFailure(opened.failure, this.isUnconnected)
      return opened
    }
    // The target left or restarted while the connection was being opened: no request may be sent on it.
    if (this.isClosed) {
      opened.connection.close('target left')
      return { kind: 'failed', failure: ConnectFailure.targetLeft }
    }
    this.observer.observeConnect(this.parts.getNow() - startedAt)
    this.connections.push(opened.connection)
    return opened
  }

  /**
   * Opens another connection to check whether the target is listening, and keeps it for later requests.
   *
   * @param reportsFailure whether the observer hears of a failure; otherwise only the caller does
   */
  async probe (entry: TargetEntry, timeoutMs: number, reportsFailure = true): Promise<ConnectResult> {
    if (this.isClosed) return { kind: 'failed', failure: ConnectFailure.targetLeft }
    const opened = await this.open(entry, timeoutMs, OpenCause.probe, reportsFailure)
    if (opened.kind === 'connected') opened.connection.release()
    return opened
  }

  /** Closes connections that have been idle for too long. */
  closeIdle (now: number): void {
    for (const connection of [...this.connections]) {
      if (!connection.isBusy && !connection.isUsable(now)) connection.closeUnused()
    }
  }

  /** Closes the connections without a request, because the link to the target has failed. */
  resetIdle (): void {
    for (const connection of [...this.connections]) {
      if (!connection.isBusy) connection.reset('link lost')
    }
  }

  /** Accepts no new requests; pending ones continue. */
  closeWhenFree (): void {
    this.isClosed = true
    for (const connection of [...this.connections]) connection.closeWhenFree('target left')
  }

  /** Closes all connections and abandons their pending requests. */
  closeAll (reason: string): void {
    this.isClosed = true
    for (const connection of [...this.connections]) connection.close(reason)
  }

  // A connection that is left out for the id is closed: a caller that gives all its requests one id would otherwise fill the target's
  // connections, one a request.
  private findFree (now: number, requestId: string): TargetConnection | undefined {
    let leftOut: TargetConnection | undefined
    for (let index = this.connections.length - 1; index >= 0; index -= 1) {
      const connection = this.connections[index]
      if (connection?.isUsable(now) !== true) continue
      if (!connection.hasAnswered(requestId)) return connection
      leftOut ??= connection
    }
    leftOut?.closeUnused()
    return undefined
  }

  /** Returns why none of the connections can take a request. */
  private findOpenCause (): OpenCause {
    if (this.connections.length === 0) return this.closeCause
    return this.connections.every(({ isBusy }) => isBusy) ? OpenCause.busy : OpenCause.idle
  }

  private pruneClosed (): void {
    for (let index = this.connections.length - 1; index >= 0; index -= 1) {
      if (this.connections[index]?.isClosed === true) this.connections.splice(index, 1)
    }
  }
}
