/** An entry host as returned by a look-up. */
export interface CallerHost {
  name: string
  incarnation: number
  address: string
  /** Share of new requests that should be sent to the host. */
  weight: number
}
