/** Lays rows out in columns; the first row is the head. */
export function formatTable (rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const texts = rows.map((row) => row.map((cell) => String(cell)))
  const widths = (texts[0] ?? []).map((_, column) => Math.max(...texts.map((row) => (row[column] ?? '').length)))
  return texts.map((row, index) => row.map((cell, column) => isNumber(rows[index]?.[column]) ? cell.padStart(widths[column] ?? 0) : cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

function isNumber (cell: string | number | undefined): boolean {
  return typeof cell === 'number'
}
