import type { Scope } from './scope.js'
import type { Source } from './source.js'

/** Makes a source of usual load on the scope: `load` times its capacity, from 40 callers with 4 keys each. */
export function makeSource (scope: Scope, load: number, overrides: Partial<Source> = {}): Source {
  const meanMs = overrides.meanMs ?? scope.meanMs
  const perSecond = load * scope.targets * scope.slots / meanMs * 1_000
  return { name: 'usual', callers: 40, keys: 4, route: 'GET /usual', perSecond, meanMs, deadlineMs: 1_000, from: 0, to: Infinity, retries: 0, ...overrides }
}
