/** A straight line through measured points, by least squares. */
export interface LineFit {
  base: number
  slope: number
  /** Part of the points' variance that the line explains, 0 to 1. */
  r2: number
}
