import { Command, Option } from 'commander'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { describeDecision } from '../explain/describeDecision.js'
import { OutputFormat } from '../output/outputFormat.js'
import { readTrace } from '../trace/readTrace.js'
import type { TraceLine } from '../trace/traceLine.js'
import { formatExample } from './formatExample.js'

interface ExplainOptions {
  log: string[]
  output: OutputFormat
}

/** `almondrelay explain`: describes the decisions about one request. */
export function createExplainCommand (terminal: Terminal): Command {
  return new Command('explain')
    .description('Explain the decisions about one request, from the log lines of the hosts that handled it.')
    .argument('<request id>', 'the Idempotency-Key of the request')
    .requiredOption('--log <file...>', 'log files of the hosts')
    .addOption(new Option('--output <format>', 'table for people, json for programs').choices(Object.values(OutputFormat)).default(OutputFormat.table))
    .addHelpText('after', formatExample('almondrelay explain 0193a5c0-7d2e-7000-8000-5b1c3f6a9e01 --log akl-a-1.log wlg-a-1.log'))
    .action(async (requestId: string, options: ExplainOptions) => {
      const lines = await findLines(requestId, options.log)
      if (lines.length === 0) {
        terminal.writeError(`no decision about ${requestId} was found in these logs; give the logs of every host that may have handled the request, for the time when it was sent`)
        terminal.setExitCode(ExitCode.absent)
        return
      }
      for (const line of lines) terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify(line) : `${line.time}  ${line.host}  ${describeDecision(line)}`)
    })
}

// Sorted by time; lines of the same host and millisecond keep the order of the log.
const findLines = async (requestId: string, files: readonly string[]): Promise<TraceLine[]> => {
  const lines: TraceLine[] = []
  for await (const { line } of readTrace(files)) if (line.requestId === requestId) lines.push(line)
  return lines.sort((left, right) => left.time < right.time ? -1 : Number(left.time > right.time))
}
