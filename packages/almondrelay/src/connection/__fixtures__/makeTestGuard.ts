import type { ClientClosure } from '../clients/clientClosure.js'
import type { ClientGuardParts } from '../clients/clientGuardParts.js'

/** Returns the parts of a guard with limits that no test meets, and adds its closures to a list. */
export function makeTestGuard (closures: ClientClosure[] = []): ClientGuardParts {
  return { port: 'test', limits: { maxConnections: 1_000, maxHeldBytes: 64 * 1024 * 1024, includesBodies: false }, reportClosure: (closure) => { closures.push(closure) }, getNow: () => performance.now() }
}
