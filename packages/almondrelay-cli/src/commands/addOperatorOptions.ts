import { Option, type Command } from 'commander'
import { OutputFormat } from '../output/outputFormat.js'

/** Adds the options that all commands that call a host have in common. */
export function addOperatorOptions (command: Command): Command {
  return command
    .option('--operator <ip:port...>', 'operator ports of hosts, tried in order until one can be reached (or ALMONDRELAY_OPERATOR, separated by commas)')
    .addOption(new Option('--output <format>', 'table for people, json for programs').choices(Object.values(OutputFormat)).default(OutputFormat.table))
}
