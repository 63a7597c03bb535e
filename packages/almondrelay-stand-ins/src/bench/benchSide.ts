/** One side of a comparison. */
export interface BenchSide {
  name: string
  address: string
  path: string
  method: 'GET' | 'POST'
  home?: string
}
