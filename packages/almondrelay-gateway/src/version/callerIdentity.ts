import type { Organisation } from './organisation.js'

/** Who sent a request, as one configuration version has it. */
export type CallerIdentity =
  /** Callers need no key: what they send to identify themselves is the targets' business. */
  | { kind: 'unchecked' }
  /** The route is open to callers without a key. */
  | { kind: 'anonymous' }
  | { kind: 'organisation', organisation: Organisation }
  /** The route needs a key, and no organisation holds the one that came, if any did. */
  | { kind: 'unknown' }
