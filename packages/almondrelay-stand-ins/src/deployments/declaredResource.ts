import type { ResourceKind } from 'almondrelay'

/** A resource as an operator writes it. */
export interface DeclaredResource {
  kind: ResourceKind
  name: string
  spec: unknown
}
