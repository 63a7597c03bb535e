#!/usr/bin/env node
import { ExitCode } from '../common/exitCode.js'
import { runProgram } from '../commands/runProgram.js'

const interrupt = new AbortController()
process.on('SIGINT', () => interrupt.abort(new Error('interrupted')))

try {
  await runProgram({
    writeLine: (text) => console.log(text),
    writeError: (text) => console.error(text),
    setExitCode: (code) => { process.exitCode = code },
    environment: process.env,
    signal: interrupt.signal
  }, process.argv.slice(2))
} catch (error) {
  console.error(interrupt.signal.aborted ? 'interrupted; a write that was in progress may have been stored' : error)
  process.exitCode = ExitCode.failed
}
