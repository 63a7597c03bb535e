import type { CapacityProduct } from './capacityProduct.js'
import type { MeasuredSlope } from './measuredSlope.js'

/** One matter of the capacity page: what was measured, and what follows at the target size. */
export interface CapacitySection {
  title: string
  slopes: MeasuredSlope[]
  products: CapacityProduct[]
}
