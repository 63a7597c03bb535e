import type { Point } from './point.js'

/** A quantity measured at several sizes. */
export interface MeasuredSlope {
  what: string
  xName: string
  unit: string
  points: Point[]
}
