import type { KnownHost } from './knownHost.js'

/** The entry hosts that this host knows, itself among them. */
export abstract class HostDirectory {
  abstract find (name: string): KnownHost | undefined
  abstract list (): KnownHost[]
  /** Takes note that nothing listens on the host's address any more: its process has ended. */
  abstract observeRefused (name: string, incarnation: number): void
}
