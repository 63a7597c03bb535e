import type { CapacityProduct } from './capacityProduct.js'
import type { CapacitySection } from './capacitySection.js'
import { computeLineFit } from './computeLineFit.js'
import type { MeasuredSlope } from './measuredSlope.js'

const DIGITS = 3

/** A section as Markdown: the points, the fit, and what follows at the target size. */
export function formatSection (section: CapacitySection): string {
  return [`### ${section.title}`, '', ...section.slopes.flatMap(formatSlope), '', '| at the target size | value | limit | |', '|---|---|---|---|', ...section.products.map(formatProduct), ''].join('\n')
}

const formatSlope = (slope: MeasuredSlope): string[] => {
  const fit = computeLineFit(slope.points)
  const points = slope.points.map(({ x, y }) => `${formatNumber(x)}: ${formatNumber(y)}`).join('; ')
  return [`- ${slope.what} (${slope.unit}) by ${slope.xName}: ${points}. Fit: ${formatNumber(fit.base)} + ${formatNumber(fit.slope)} each, r2 ${fit.r2.toFixed(DIGITS)}.`]
}

const formatProduct = ({ what, value, unit, limit }: CapacityProduct): string => {
  const verdict = limit === undefined ? '' : value <= limit ? 'within' : 'PASSES ITS LIMIT'
  return `| ${what} | ${formatNumber(value)} ${unit} | ${limit === undefined ? '' : `${formatNumber(limit)} ${unit}`} | ${verdict} |`
}

const formatNumber = (value: number): string => {
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en-US')
  return String(Number(value.toPrecision(DIGITS)))
}
