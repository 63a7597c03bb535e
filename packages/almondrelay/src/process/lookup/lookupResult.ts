interface LookupHost {
  name: string
  incarnation: number
  address: string
  region: string
  availabilityZone: string
  weight: number
}

/** What a look-up is answered with. */
export type LookupResult =
  | { kind: 'answer', answer: { revision: number, ttlMs: number, hosts: LookupHost[] } }
  | { kind: 'unknown-service' }
  | { kind: 'not-ready' }
