import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { recordBurst } from '../../__fixtures__/recordBurst.js'
import { runCommandLine } from '../../__fixtures__/runCommandLine.js'
import { writeTemporaryFile } from '../../__fixtures__/writeTemporaryFile.js'

const runReplay = async (lines: readonly string[]) => runCommandLine(['replay', writeTemporaryFile(lines.join('\n'))])

test('replaying a recorded burst gives the same decisions, line by line', async () => {
  for (const seed of [1, 2, 3]) {
    const lines = recordBurst(seed)
    const result = await runReplay(lines)
    assert.is(result.code, 0, result.stderr)
    assert.match(result.stdout, `${lines.length} decisions: ${lines.length} the same, 0 different`)
    for (const kind of ['lookup', 'placement', 'admission', 'choice']) assert.ok(lines.some((line) => line.includes(`"decision":"${kind}"`)), kind)
    assert.ok(lines.some((line) => line.includes('"kind":"refuse"')), 'the burst has refusals')
  }
})

test('a decision that differs from the recorded one is shown, with its own exit code', async () => {
  const lines = recordBurst(1)
  const index = lines.findIndex((line) => line.includes('"target":"a"') && line.includes('"choose"'))
  const result = await runReplay(lines.map((line, each) => each === index ? line.replace('"target":"a"', '"target":"b"') : line))
  assert.is(result.code, 9)
  assert.match(result.stderr, `:${index + 1} choice`)
  assert.match(result.stdout, '1 different')
})

test('a changed input is reported as a difference too', async () => {
  const lines = recordBurst(2)
  const index = lines.findIndex((line) => line.includes('"choosePlacement"'))
  const result = await runReplay(lines.map((line, each) => each === index ? line.replace('"latencyMs":1}', '"latencyMs":7}') : line))
  assert.is(result.code, 9)
})

// Guards against false differences when the log was cut and the trace begins after the queue was created: replayed on an
// empty queue, the decisions would differ although the module is correct.
test('a trace without its beginning is reported as such, and the command fails', async () => {
  const lines = recordBurst(1).filter((line) => !line.includes('"create"') && line.includes('"admission"'))
  const result = await runReplay(lines)
  assert.is(result.code, 1)
  assert.match(result.stdout, `${lines.length} not replayed, admission: the trace begins after`)
})

test('lines without all inputs are skipped and counted, other and broken lines are ignored', async () => {
  const lines = [...recordBurst(1), '{"msg":"host started"}', '{"decision":"placement","requestId":"r","input":{"service":"x"},"output":{}}', '{"decision":"answer","input":{},"output":{}}', '{"decision":"pla']
  const result = await runReplay(lines)
  assert.is(result.code, 0)
  assert.match(result.stdout, '1 not replayed, placement: not every input was recorded; set log.replay')
  assert.match(result.stdout, '1 not replayed, answer: no module decides this kind alone')
})

test('a missing file is a usage error', async () => {
  assert.is((await runCommandLine(['replay', '/nowhere.log'])).code, 2)
})

test.run()
