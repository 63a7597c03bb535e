import type { KnownHost } from './knownHost.js'

/** The entry hosts that this host knows, including itself. */
export abstract class HostDirectory {
  abstract find (name: string): KnownHost | undefined
  abstract list (): KnownHost[]
  /** Records that the host's address refused a connection: nothing listens there, so that incarnation has ended. */
  abstract observeRefused (name: string, incarnation: number): void
}
