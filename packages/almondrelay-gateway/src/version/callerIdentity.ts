import type { Organisation } from './organisation.js'

/** The sender of a request, as identified under one configuration version. */
export type CallerIdentity =
  /** Callers need no key: whatever they send to identify themselves is left to the targets. */
  | { kind: 'unchecked' }
  /** The route is open to callers without a key, and the request has no key of an organisation. */
  | { kind: 'anonymous' }
  | { kind: 'organisation', organisation: Organisation }
  /** The route needs a key, and the request has none, or one that belongs to no organisation. */
  | { kind: 'unknown' }
