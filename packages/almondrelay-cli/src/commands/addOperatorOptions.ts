import { Option, type Command } from 'commander'
import { OutputFormat } from '../output/outputFormat.js'

/** Options of every command that asks a host. */
export function addOperatorOptions (command: Command): Command {
  return command
    .option('--operator <ip:port...>', 'operator port of a host; the next one is tried when it can\'t be reached (or ALMONDRELAY_OPERATOR, with commas)')
    .addOption(new Option('--output <format>', 'table for people, json for programs').choices(Object.values(OutputFormat)).default(OutputFormat.table))
}
