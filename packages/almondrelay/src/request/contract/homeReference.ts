/** The host and incarnation that alone may start a non-idempotent request. */
export interface HomeReference {
  host: string
  incarnation: number
}
