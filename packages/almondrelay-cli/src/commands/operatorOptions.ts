import type { OutputFormat } from '../output/outputFormat.js'

/** Values of the options that addOperatorOptions adds. */
export interface OperatorOptions {
  operator?: string[]
  output: OutputFormat
}
