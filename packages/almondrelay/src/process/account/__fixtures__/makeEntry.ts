import type { AccountEntry } from '../accountEntry.js'

/** Makes an account entry of a successful request with the given fields replaced. */
export function makeEntry (parts: Partial<AccountEntry>): AccountEntry {
  return { at: 0, caller: 'kowhai', service: 'balances', target: 'balances-akl-1', region: 'akl', availabilityZone: 'akl-a', callerRegion: 'akl', outcome: 'run', durationMs: 10, ...parts }
}
