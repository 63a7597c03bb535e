import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FakeOperatorApi } from '../../__fixtures__/fakeOperatorApi.js'
import { runCommandLine } from '../../__fixtures__/runCommandLine.js'
import { writeTemporaryFile } from '../../__fixtures__/writeTemporaryFile.js'
import { createProgram } from '../createProgram.js'

const CLOSED = '127.0.0.1:1'
const EXAMPLE = new URL('../../../../../docs/examples/resources.jsonc', import.meta.url).pathname
const LINK = { from: 'akl', to: 'wlg', latencyMs: 20, maxInFlight: 4 }
const linkFile = writeTemporaryFile(JSON.stringify([{ kind: 'Link', name: 'akl-wlg', spec: LINK }]))

const withOperator = async (use: (fake: FakeOperatorApi, ...operator: string[]) => Promise<void>): Promise<void> => {
  const fake = await FakeOperatorApi.start()
  try {
    await use(fake, '--operator', fake.address)
  } finally {
    await fake.stop()
  }
}

test('apply writes dependencies first, get shows the resource, a second apply changes nothing', () => withOperator(async (fake, ...operator) => {
  const applied = await runCommandLine(['apply', '-f', EXAMPLE, '--wait', '1000', ...operator])
  assert.is(applied.code, 0, applied.stderr)
  assert.equal(fake.stored.map((key) => key.split('/')[0]), ['Region', 'Region', 'Link', 'Link', 'Service', 'ShiftCap', 'SteeringPolicy', 'Drain'])
  assert.match(applied.stdout, 'revision 8: in force in 2 availability zones')
  const again = await runCommandLine(['apply', '-f', EXAMPLE, ...operator])
  assert.match(again.stdout, 'Region/akl: unchanged since revision 1')
  assert.is(fake.stored.length, 8)
  const shown = await runCommandLine(['get', 'shiftcap', 'akl-to-wlg', '--output', 'json', ...operator])
  assert.is((JSON.parse(shown.stdout) as { spec: { maxInFlight: number } }).spec.maxInFlight, 10)
}))

// Guards against giving up when the first host is down: its connection was refused before a byte was sent, so the write
// goes to the next host.
test('an unreachable host is skipped', () => withOperator(async (fake) => {
  const result = await runCommandLine(['apply', '-f', linkFile, '--operator', CLOSED, fake.address])
  assert.is(result.code, 0, result.stderr)
  assert.is(fake.revision, 1)
}))

// Guards against reporting a stored write as failed after its answer was lost: the operator would write again and could
// overwrite another operator's change. The look-up by write id shows that the write was stored.
test('a lost answer is looked up by its write id', () => withOperator(async (fake, ...operator) => {
  fake.dropNextAnswer = true
  const result = await runCommandLine(['apply', '-f', linkFile, ...operator])
  assert.is(result.code, 0, result.stderr)
  assert.match(result.stdout, 'Link/akl-wlg: accepted as revision 1')
  assert.is(fake.stored.length, 1)
}))

// Guards against reporting a write as failed that never arrived because the connection broke: the look-up gives `absent`,
// which is not a refusal, so the write is sent again under the same id and the outcome of that is reported.
test('a write that never arrived is sent again under the same id', () => withOperator(async (fake, ...operator) => {
  fake.dropNextWrite = true
  const result = await runCommandLine(['apply', '-f', linkFile, ...operator])
  assert.is(result.code, 0, result.stderr)
  assert.is(fake.stored.length, 1)
  assert.is(fake.writes.size, 1)
}))

test('a host without a configuration is skipped', () => withOperator(async (fake) => {
  const fresh = await FakeOperatorApi.start()
  fresh.isReady = false
  const result = await runCommandLine(['apply', '-f', linkFile, '--operator', fresh.address, fake.address])
  await fresh.stop()
  assert.is(result.code, 0, result.stderr)
  assert.is(fake.stored.length, 1)
}))

// Guards against a false "stored" or "not stored" when the platform fails during a write: the outcome is unknown, and the
// operator gets the write id with which to look it up later.
test('an unknown outcome is reported as unknown, with the write id', () => withOperator(async (fake, ...operator) => {
  fake.isPlatformDown = true
  const result = await runCommandLine(['apply', '-f', linkFile, ...operator])
  assert.is(result.code, 5)
  const writeId = /almondrelay outcome (\S+),/.exec(result.stdout)?.[1] ?? ''
  assert.match(writeId, /^[0-9a-f-]{36}$/)
  assert.is((await runCommandLine(['outcome', writeId, ...operator])).code, 5)
  fake.isPlatformDown = false
  assert.is((await runCommandLine(['outcome', writeId, ...operator])).code, 8)
  fake.writes.set(writeId, 7)
  assert.match((await runCommandLine(['outcome', writeId, ...operator])).stdout, 'stored as revision 7')
}))

// Two operators write the same resource. The second write must not be stored; the message names the revision that came
// first, and the rest of the file is not applied.
test('a conflict names the revision that came first and stops the apply', () => withOperator(async (fake, ...operator) => {
  fake.conflictNextWrite = true
  const result = await runCommandLine(['apply', '-f', EXAMPLE, ...operator])
  assert.is(result.code, 4)
  assert.match(result.stdout, 'Region/akl: not stored, revision 1 came first')
  assert.equal(fake.stored, [])
}))

test('a revision in the file prevents overwriting a newer one', () => withOperator(async (fake, ...operator) => {
  await runCommandLine(['apply', '-f', linkFile, ...operator])
  const stale = writeTemporaryFile(JSON.stringify([{ kind: 'Link', name: 'akl-wlg', revision: 0, spec: { ...LINK, maxInFlight: 9 } }]))
  assert.is((await runCommandLine(['apply', '-f', stale, ...operator])).code, 4)
}))

test('a rejected resource is shown with path and remedy', () => withOperator(async (fake, ...operator) => {
  fake.problems = [{ path: 'spec.to', found: 'wlg', remedy: 'declare the Region wlg first' }]
  const result = await runCommandLine(['apply', '-f', linkFile, ...operator])
  assert.is(result.code, 3)
  assert.match(result.stdout, 'spec.to: found wlg; declare the Region wlg first')
}))

test('--wait ends with its own exit code when a zone lags, and names unreachable hosts', () => withOperator(async (fake, ...operator) => {
  fake.secondZoneRevision = 0
  fake.unreachable = ['chc-a-1']
  const result = await runCommandLine(['apply', '-f', linkFile, '--wait', '50', ...operator])
  assert.is(result.code, 7)
  assert.match(result.stdout, "behind: wlg-a; can't be reached, so not known: chc-a-1")
}))

test('watch ends when the drain is drained, or else at the timeout', () => withOperator(async (fake, ...operator) => {
  fake.resources.set('Drain/m', { kind: 'Drain', name: 'm', revision: 0, spec: {}, status: { isInForce: true, workLeft: 3 } })
  const early = await runCommandLine(['watch', 'Drain', 'm', '--until', 'drained', '--timeout', '10', ...operator])
  assert.is(early.code, 7)
  assert.match(early.stdout, 'draining, 3 requests left')
  fake.resources.set('Drain/m', { kind: 'Drain', name: 'm', revision: 0, spec: {}, status: { isInForce: true, workLeft: 0 } })
  assert.is((await runCommandLine(['watch', 'Drain', 'm', '--until', 'drained', ...operator])).code, 0)
  assert.is((await runCommandLine(['watch', 'Drain', 'other', ...operator])).code, 8)
}))

test('delete removes a resource, and fails if it does not exist', () => withOperator(async (fake, ...operator) => {
  await runCommandLine(['apply', '-f', linkFile, ...operator])
  assert.is((await runCommandLine(['delete', 'Link', 'akl-wlg', '--wait', '1000', ...operator])).code, 0)
  assert.is(fake.resources.size, 0)
  assert.is((await runCommandLine(['delete', 'Link', 'akl-wlg', ...operator])).code, 8)
}))

test('status and lookup print tables', () => withOperator(async (fake, ...operator) => {
  const status = await runCommandLine(['status'], { ALMONDRELAY_OPERATOR: `${CLOSED},${fake.address}` })
  assert.is(status.code, 0, status.stderr)
  assert.match(status.stdout, /akl-to-wlg\s+4\s+10/)
  assert.match(status.stdout, /maintenance\s+3\s+held back by shift cap akl-to-wlg/)
  assert.match((await runCommandLine(['lookup', '--service', 'balances', ...operator])).stdout, /akl-a-1\s+127.0.0.1:8080/)
}))

test('errors name a remedy and give their exit codes', async () => {
  const unreachable = await runCommandLine(['status', '--operator', CLOSED])
  assert.is(unreachable.code, 6)
  assert.match(unreachable.stderr, '127.0.0.1:1: ECONNREFUSED')
  const unnamed = await runCommandLine(['status'])
  assert.is(unnamed.code, 2)
  assert.match(unnamed.stderr, 'write --operator 10.1.1.11:8082')
  const kind = await runCommandLine(['get', 'Regoin', '--operator', CLOSED])
  assert.is(kind.code, 2)
  assert.match(kind.stderr, 'write Region')
  assert.is((await runCommandLine(['stauts'])).code, 2)
  assert.is((await runCommandLine(['check', '-f', writeTemporaryFile('[1]')])).code, 3)
})

test('every command has help with an example, and the exit codes are listed', async () => {
  const help = await runCommandLine(['--help'])
  assert.is(help.code, 0)
  assert.match(help.stdout, 'no host could be reached')
  const program = createProgram({ writeLine: () => {}, writeError: () => {}, setExitCode: () => {}, environment: {}, signal: new AbortController().signal })
  for (const command of program.commands) {
    const shown = await runCommandLine([command.name(), '--help'])
    assert.is(shown.code, 0)
    assert.match(shown.stdout, /Examples?:\n {2}\$ almondrelay/, command.name())
  }
  const folder = new URL('../', import.meta.url)
  const files = readdirSync(folder).filter((name) => /^create\w+Command\.js$/.test(name))
  assert.is(files.length, program.commands.length, 'a command file is not registered in the program')
  assert.ok(files.every((name) => readFileSync(new URL(name, folder), 'utf8').includes('formatExample(')))
})

test('quarantine shows the requests, and release ends the quarantine of one', () => withOperator(async (fake, ...operator) => {
  assert.match((await runCommandLine(['quarantine', ...operator])).stdout, 'no request under which targets ended')
  fake.suspects = [{ fingerprint: 'ab12', organisation: 'school', ends: 3, isQuarantined: true, trials: 1, nextTrialMs: 900 }, { fingerprint: 'cd34', organisation: '', ends: 1, isQuarantined: false, trials: 0 }]
  const shown = await runCommandLine(['quarantine', ...operator])
  assert.match(shown.stdout, /ab12 +school +3 +quarantined +1 +900/)
  assert.match(shown.stdout, /cd34 +1 +suspected/)
  assert.match((await runCommandLine(['release', 'ab12', ...operator])).stdout, 'ab12: released')
  assert.equal(fake.suspects.map(({ fingerprint }) => fingerprint), ['cd34'])
  assert.is((await runCommandLine(['release', 'ab12', ...operator])).code, 8)
}))

test.run()
