import type { Socket } from 'node:net'
import type { RelayDirection } from './relayDirection.js'
import { resetOrDestroy } from './resetOrDestroy.js'

/** One connection through a relay: two sockets and what happens to the bytes between them. */
export class RelayedConnection {
  private isSilentToTarget = false
  private isSilentToClient = false

  constructor (private readonly client: Socket, private readonly target: Socket, private delayMs: number, onClosed: () => void) {
    client.setNoDelay(true)
    target.setNoDelay(true)
    this.passOn(client, target, () => this.isSilentToTarget)
    this.passOn(target, client, () => this.isSilentToClient)
    client.once('close', () => { if (target.destroyed) onClosed() })
    target.once('close', () => { if (client.destroyed) onClosed() })
  }

  injectSilence (direction: RelayDirection): void {
    if (direction !== 'toClient') this.isSilentToTarget = true
    if (direction !== 'toTarget') this.isSilentToClient = true
  }

  setDelay (delayMs: number): void {
    this.delayMs = delayMs
  }

  reset (): void {
    resetOrDestroy(this.client)
    resetOrDestroy(this.target)
  }

  private passOn (from: Socket, to: Socket, isSilent: () => boolean): void {
    from.on('data', (data) => { this.runLater(() => { if (!isSilent() && !to.destroyed) to.write(data) }) })
    from.on('end', () => { this.runLater(() => { if (!isSilent() && !to.destroyed) to.end() }) })
    from.on('error', () => { this.runLater(() => { if (!isSilent() && !to.destroyed) resetOrDestroy(to) }) })
    from.on('close', () => { this.runLater(() => { if (!isSilent() && !to.destroyed) to.end() }) })
  }

  /** Timers of one length fire in the order in which they were set, so bytes keep their order. */
  private runLater (run: () => void): void {
    if (this.delayMs === 0) run()
    else setTimeout(run, this.delayMs)
  }
}
