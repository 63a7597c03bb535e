/** Formats rows under a line of headings, in columns two spaces apart; numeric columns are aligned right. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const texts = rows.map((row) => row.map(String))
  const widths = headings.map((heading, column) => Math.max(heading.length, ...texts.map((row) => row[column]?.length ?? 0)))
  const isNumeric = headings.map((_, column) => rows.length > 0 && rows.every((row) => typeof row[column] === 'number'))
  const formatRow = (row: readonly string[]): string => row
    .map((text, column) => isNumeric[column] === true ? text.padStart(widths[column] ?? 0) : text.padEnd(widths[column] ?? 0))
    .join('  ')
    .trimEnd()
  return [headings.map((heading) => heading.toUpperCase()), ...texts].map(formatRow).join('\n')
}
