interface LookupHost {
  name: string
  incarnation: number
  address: string
  region: string
  availabilityZone: string
  weight: number
}

/** Result of a look-up. */
export type LookupResult =
  | { kind: 'answer', answer: { revision: number, ttlMs: number, hosts: LookupHost[] } }
  | { kind: 'unknown-service' }
  | { kind: 'not-ready' }
