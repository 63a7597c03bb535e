/** An entry host as a look-up names it. */
export interface CallerHost {
  name: string
  incarnation: number
  address: string
  /** Part of new requests that it should get. */
  weight: number
}
