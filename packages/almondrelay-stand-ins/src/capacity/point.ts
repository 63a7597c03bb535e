/** One measured value. */
export interface Point {
  x: number
  y: number
}
