import { createSeededRandom } from 'almondrelay'
import { AppListener } from '../network/appListener.js'
import { createTargetApp } from './createTargetApp.js'
import type { TargetFaults } from './targetFaults.js'
import type { TargetSettings } from './targetSettings.js'
import { TargetState } from './targetState.js'

const readNow = (): number => performance.now()

/** One target stand-in on a port of its own. */
export class Target {
  readonly state: TargetState
  private readonly listener: AppListener<any>
  private address: string
  private isOpen = false

  private constructor (settings: TargetSettings) {
    this.address = settings.address
    this.state = new TargetState(settings, createSeededRandom(settings.seed))
    const app = createTargetApp({ state: this.state, onFaults: (faults) => { this.applyRefusal(faults).catch((error: Error) => { process.emitWarning(error) }) }, readNow })
    this.listener = new AppListener(app)
  }

  /** Listens until the signal aborts. */
  static async start (settings: TargetSettings, signal: AbortSignal): Promise<Target> {
    const target = new Target(settings)
    await target.open()
    signal.addEventListener('abort', () => { target.close() }, { once: true })
    return target
  }

  getAddress (): string {
    return this.address
  }

  async setFaults (faults: TargetFaults): Promise<void> {
    this.state.setFaults(faults, readNow())
    await this.applyRefusal(faults)
  }

  private async applyRefusal (faults: TargetFaults): Promise<void> {
    if (faults.refuse) this.close()
    else if (!this.isOpen) await this.open()
  }

  private async open (): Promise<void> {
    this.isOpen = true
    this.address = await this.listener.open(this.address)
  }

  private close (): void {
    this.isOpen = false
    this.listener.close()
  }
}
