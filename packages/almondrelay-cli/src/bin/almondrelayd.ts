#!/usr/bin/env node
import bunyan from 'bunyan'
import { AlmondrelayError, ErrorKind, runDaemon, type HostSettings } from 'almondrelay'
import { ExitCode } from '../common/exitCode.js'
import { parseArguments } from '../common/parseArguments.js'
import { createDaemonCommand } from '../daemon/createDaemonCommand.js'
import { watchStopSignals } from '../daemon/watchStopSignals.js'

const runUntilStopped = async (settings: HostSettings): Promise<number> => {
  const log = bunyan.createLogger({ name: 'almondrelayd', host: settings.host.name, level: settings.log.level })
  const signal = watchStopSignals(process, { log: (message) => log.warn(message), exit: (code) => process.exit(code) })
  return runDaemon(settings, signal)
}

const command = createDaemonCommand({
  runDaemon: runUntilStopped,
  writeLine: (text) => console.log(text),
  setExitCode: (code) => { process.exitCode = code }
})

try {
  const code = await parseArguments(command, process.argv.slice(2))
  if (code !== undefined) process.exitCode = code
} catch (error) {
  console.error(error instanceof AlmondrelayError ? error.message : error)
  process.exitCode = error instanceof AlmondrelayError && error.kind === ErrorKind.settingsInvalid ? ExitCode.usage : ExitCode.failed
}
