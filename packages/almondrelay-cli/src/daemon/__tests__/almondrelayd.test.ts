import { spawn } from 'node:child_process'
import { EventEmitter } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HostSettings } from 'almondrelay'
import { createDaemonCommand } from '../createDaemonCommand.js'
import { watchStopSignals } from '../watchStopSignals.js'

const PROGRAM = new URL('../../bin/almondrelayd.js', import.meta.url).pathname
const EXAMPLE = new URL('../../../../../docs/examples/almondrelayd.jsonc', import.meta.url).pathname

const runProgram = async (...args: string[]): Promise<{ code: number | null, stdout: string, stderr: string }> => {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (data) => { stdout += data })
  child.stderr.on('data', (data) => { stderr += data })
  const code = await new Promise<number | null>((resolve) => child.on('close', resolve))
  return { code, stdout, stderr }
}

test('--check accepts the commented example', async () => {
  const result = await runProgram('--check', '--settings', EXAMPLE)
  assert.is(result.code, 0)
  assert.match(result.stdout, 'host akl-a-1 in akl-a')
})

test('invalid settings give exit code 2 and the problem on stderr', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'almondrelayd-'))
  const file = path.join(folder, 'wrong.jsonc')
  await writeFile(file, '{\n  "hosts": {}\n}')
  const result = await runProgram('--settings', file)
  await rm(folder, { recursive: true })
  assert.is(result.code, 2)
  assert.match(result.stderr, `${file}:2 hosts: found the unknown name 'hosts'; write 'host', or remove it`)
  assert.is(result.stdout, '')
})

test('a wrong command line gives exit code 2', async () => {
  const result = await runProgram('--setings', EXAMPLE)
  assert.is(result.code, 2)
  assert.match(result.stderr, '--settings')
})

test('the daemon receives the settings, and its result becomes the exit code', async () => {
  let given: HostSettings | undefined
  let code: number | undefined
  const command = createDaemonCommand({
    runDaemon: async (settings) => { given = settings; return 1 },
    writeLine: () => {},
    setExitCode: (value) => { code = value }
  })
  await command.parseAsync(['--settings', EXAMPLE], { from: 'user' })
  assert.is(given?.host.name, 'akl-a-1')
  assert.is(code, 1)
})

test('the first signal starts a planned stop, the second exits at once', () => {
  const source = new EventEmitter()
  const exits: number[] = []
  const lines: string[] = []
  const signal = watchStopSignals(source, { log: (line) => { lines.push(line) }, exit: (code) => { exits.push(code) } })
  assert.is(signal.aborted, false)
  source.emit('SIGTERM')
  assert.is(signal.aborted, true)
  assert.equal(exits, [])
  source.emit('SIGINT')
  assert.equal(exits, [1])
  assert.match(lines[1] ?? '', 'second signal SIGINT')
})

test.run()
