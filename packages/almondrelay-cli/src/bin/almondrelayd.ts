#!/usr/bin/env node
import bunyan from 'bunyan'
import { AlmondrelayError, ErrorKind, type HostSettings } from 'almondrelay'
import { ExitCode } from '../common/exitCode.js'
import { parseArguments } from '../common/parseArguments.js'
import { createDaemonCommand } from '../daemon/createDaemonCommand.js'
import { findRunDaemon } from '../daemon/findRunDaemon.js'
import { watchStopSignals } from '../daemon/watchStopSignals.js'

const runDaemon = async (settings: HostSettings): Promise<number> => {
  const log = bunyan.createLogger({ name: 'almondrelayd', host: settings.host.name, level: settings.log.level })
  const signal = watchStopSignals(process, { log: (message) => log.warn(message), exit: (code) => process.exit(code) })
  return findRunDaemon()(settings, signal)
}

const command = createDaemonCommand({
  runDaemon,
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
