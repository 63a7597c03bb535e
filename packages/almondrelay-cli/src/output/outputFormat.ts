/** Output formats of a command: tables for people, JSON for programs. */
const OutputFormat = {
  table: 'table',
  json: 'json'
} as const

type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat]

export { OutputFormat }
