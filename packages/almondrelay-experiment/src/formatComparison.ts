import type { WayComparison } from './wayComparison.js'

const HEAD = ['way', 'worth', 'difference', 'in time', 'late', 'refused', 'failed']

/** The comparison as a table of plain text. */
export function formatComparison (comparisons: readonly WayComparison[]): string {
  const rows = comparisons.map((each, index) => [
    each.name,
    each.worth.toFixed(3),
    index === 0 ? '' : `${each.difference >= 0 ? '+' : ''}${each.difference.toFixed(3)} ± ${each.halfWidth.toFixed(3)}`,
    ...[each.inTime, each.late, each.refused, each.failed].map((part) => part.toFixed(3))
  ])
  const widths = HEAD.map((head, column) => Math.max(head.length, ...rows.map((row) => (row[column] as string).length)))
  return [HEAD, ...rows].map((row) => row.map((cell, column) => cell.padEnd(widths[column] as number)).join('  ').trimEnd()).join('\n')
}
