import { Command } from 'commander'
import { loadSettings, type HostSettings } from 'almondrelay'
import { ExitCode } from '../common/exitCode.js'

interface DaemonParts {
  /** Serves until a planned stop is complete; returns the exit code. */
  runDaemon: (settings: HostSettings) => Promise<number>
  writeLine: (text: string) => void
  setExitCode: (code: number) => void
}

interface DaemonOptions {
  settings: string
  check?: boolean
}

const EXAMPLE = `
Example:
  $ almondrelayd --check --settings /etc/almondrelay/almondrelayd.jsonc
  $ almondrelayd --settings /etc/almondrelay/almondrelayd.jsonc

Signals:
  SIGTERM, SIGINT  planned stop: look-ups stop naming this host, work in flight is finished
  a second one     exits at once

Exit codes:
  ${ExitCode.ok}  planned stop with nothing cut off, or the settings are valid
  ${ExitCode.failed}  exited with work in flight, or an error while running
  ${ExitCode.usage}  wrong command line or wrong settings; nothing was started`

/** Creates the command line of almondrelayd. */
export function createDaemonCommand (parts: DaemonParts): Command {
  return new Command('almondrelayd')
    .description('Entry host: answers look-ups, forwards requests, serves the resource API.')
    .requiredOption('--settings <file>', 'settings of this host, JSON with comments')
    .option('--check', 'check the settings and exit')
    .addHelpText('after', EXAMPLE)
    .exitOverride()
    .action(async (options: DaemonOptions) => {
      const settings = await loadSettings(options.settings)
      if (options.check === true) parts.writeLine(`${options.settings}: valid, for host ${settings.host.name} in ${settings.host.availabilityZone}`)
      else parts.setExitCode(await parts.runDaemon(settings))
    })
}
