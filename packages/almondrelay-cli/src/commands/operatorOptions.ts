import type { OutputFormat } from '../output/outputFormat.js'

/** What addOperatorOptions gives a command. */
export interface OperatorOptions {
  operator?: string[]
  output: OutputFormat
}
