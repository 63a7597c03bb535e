import type { WayComparison } from './wayComparison.js'

const WIDTH = 560
const BAR = 34
const GAP = 14
const LEFT = 130
const TOP = 34
const SCALE = 330

/** The worth of each way as a bar, with the confidence interval of its difference to the first one, as an SVG. */
export function renderPlot (title: string, comparisons: readonly WayComparison[]): string {
  const height = TOP + comparisons.length * (BAR + GAP) + GAP
  const rows = comparisons.map((each, index) => renderRow(each, TOP + index * (BAR + GAP)))
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="13">
<rect width="100%" height="100%" fill="white"/>
<text x="${LEFT}" y="20" font-weight="bold">${title}</text>
${rows.join('\n')}
</svg>
`
}

const renderRow = ({ name, worth, halfWidth }: WayComparison, y: number): string => {
  const middle = y + BAR / 2
  const end = LEFT + worth * SCALE
  const spread = Number.isFinite(halfWidth) ? halfWidth * SCALE : 0
  return [
    `<text x="${LEFT - 8}" y="${middle + 4}" text-anchor="end">${name}</text>`,
    `<rect x="${LEFT}" y="${y}" width="${(worth * SCALE).toFixed(1)}" height="${BAR}" fill="#5b8db8"/>`,
    `<line x1="${(end - spread).toFixed(1)}" x2="${(end + spread).toFixed(1)}" y1="${middle}" y2="${middle}" stroke="black" stroke-width="2"/>`,
    `<text x="${(end + spread + 8).toFixed(1)}" y="${middle + 4}">${worth.toFixed(3)}</text>`
  ].join('\n')
}
