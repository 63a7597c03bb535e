import { AlmondrelayError } from '../../errors/almondrelayError.js'
import { ErrorKind } from '../../errors/errorKind.js'
import { Platform } from '../../platform/platform.js'
import type { PlatformEntry } from '../../platform/platformEntry.js'
import type { PlatformHost } from '../../platform/platformHost.js'
import type { PlatformPutResult } from '../../platform/platformPutResult.js'
import type { PlatformWatchResult } from '../../platform/platformWatchResult.js'

/** Keeps keys in memory; leases and watches are not needed by the account. */
export class FakePlatform extends Platform {
  readonly entries = new Map<string, PlatformEntry>()
  puts = 0
  lists = 0
  down = false
  /** The next put is stored, and its answer is lost. */
  loseNextAnswer = false

  async get (key: string): Promise<PlatformEntry | undefined> {
    this.checkUp()
    return this.entries.get(key)
  }

  async put (key: string, value: string, expectedVersion: number): Promise<PlatformPutResult> {
    this.puts += 1
    this.checkUp()
    const version = this.entries.get(key)?.version ?? 0
    if (version !== expectedVersion) return { stored: false, version }
    this.entries.set(key, { key, value, version: version + 1 })
    if (this.loseNextAnswer) {
      this.loseNextAnswer = false
      throw makeOutage()
    }
    return { stored: true, version: version + 1 }
  }

  async delete (key: string): Promise<PlatformPutResult> {
    this.checkUp()
    this.entries.delete(key)
    return { stored: true, version: 0 }
  }

  async list (prefix: string, after: string, limit: number): Promise<PlatformEntry[]> {
    this.lists += 1
    this.checkUp()
    return [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix) && entry.key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1)
      .slice(0, limit)
  }

  async watch (): Promise<PlatformWatchResult> {
    return { events: [], sequence: 0 }
  }

  async grantLease (): Promise<string> {
    return '1'
  }

  async renewLease (): Promise<boolean> {
    return true
  }

  async releaseLease (): Promise<void> {}

  async listHosts (): Promise<PlatformHost[]> {
    return []
  }

  private checkUp (): void {
    if (this.down) throw makeOutage()
  }
}

const makeOutage = (): AlmondrelayError => new AlmondrelayError({ kind: ErrorKind.platformUnavailable, message: 'the platform does not answer', remedy: 'wait for it' })
