/** Formats the examples at the end of a command's help. */
export function formatExample (...lines: string[]): string {
  return ['', lines.length === 1 ? 'Example:' : 'Examples:', ...lines.map((line) => `  $ ${line}`)].join('\n')
}
