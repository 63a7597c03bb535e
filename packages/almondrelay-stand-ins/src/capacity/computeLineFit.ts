import type { LineFit } from './lineFit.js'
import type { Point } from './point.js'

/** The line with the least squares of distance to the points; needs two different x. */
export function computeLineFit (points: readonly Point[]): LineFit {
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const varianceX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const varianceY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0)
  const together = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const slope = together / varianceX
  return { base: meanY - slope * meanX, slope, r2: varianceY === 0 ? 1 : together ** 2 / (varianceX * varianceY) }
}
