import { Command, Option } from 'commander'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { OutputFormat } from '../output/outputFormat.js'
import type { ReplaySummary } from '../replay/replaySummary.js'
import { TraceReplay } from '../replay/traceReplay.js'
import { readTrace } from '../trace/readTrace.js'
import { formatExample } from './formatExample.js'

const MAX_SHOWN_DIFFERENCES = 20

/** `almondrelay replay`: repeats recorded decisions and compares the results. */
export function createReplayCommand (terminal: Terminal): Command {
  return new Command('replay')
    .description('Repeat recorded decisions with the modules of this version and compare the results line by line. A trace is the log of a host whose settings have log.replay.')
    .argument('<trace...>', 'log files, with the lines of each host in order')
    .addOption(new Option('--output <format>', 'table for people, json for programs').choices(Object.values(OutputFormat)).default(OutputFormat.table))
    .addHelpText('after', formatExample('almondrelay replay akl-a-1.log'))
    .action(async (files: string[], options: { output: OutputFormat }) => {
      const summary = await replayFiles(terminal, files)
      terminal.writeLine(options.output === OutputFormat.json ? JSON.stringify(summary) : formatSummary(summary))
      terminal.setExitCode(chooseExitCode(summary))
    })
}

const replayFiles = async (terminal: Terminal, files: readonly string[]): Promise<ReplaySummary> => {
  const replay = new TraceReplay()
  const summary: ReplaySummary = { lines: 0, same: 0, different: 0, passed: {} }
  for await (const { file, number, line } of readTrace(files)) {
    const verdict = replay.replay(line)
    summary.lines += 1
    if (verdict.kind === 'same') summary.same += 1
    if (verdict.kind === 'passed') summary.passed[`${line.decision}: ${verdict.reason}`] = (summary.passed[`${line.decision}: ${verdict.reason}`] ?? 0) + 1
    if (verdict.kind === 'different') {
      summary.different += 1
      if (summary.different <= MAX_SHOWN_DIFFERENCES) terminal.writeError(`${file}:${number} ${line.decision} ${line.requestId}\n  recorded ${JSON.stringify(line.output)}\n  now      ${JSON.stringify(verdict.found)}`)
    }
  }
  return summary
}

const formatSummary = (summary: ReplaySummary): string => [
  `${summary.lines} decisions: ${summary.same} the same, ${summary.different} different`,
  ...Object.entries(summary.passed).map(([reason, count]) => `${count} not replayed, ${reason}`)
].join('\n')

// If no line of the trace could be replayed, nothing was verified, so the command fails.
const chooseExitCode = (summary: ReplaySummary): ExitCode => {
  if (summary.different > 0) return ExitCode.different
  return summary.same > 0 ? ExitCode.ok : ExitCode.failed
}
