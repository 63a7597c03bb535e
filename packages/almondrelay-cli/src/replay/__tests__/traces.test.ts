import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runCommandLine } from '../../__fixtures__/runCommandLine.js'

const FOLDER = new URL('../../../src/replay/__fixtures__/', import.meta.url)

// Traces of one host (akl-a-1 of the Kowhai deployment in its smallest size, 12 requests a second): in normal operation, while
// the hosts of region wlg are killed, and while the platform refuses every call. Guards against unintended changes of
// decisions: a host that decides differently shows here, line by line.
for (const name of ['peace', 'regionLoss', 'platformOutage']) {
  test(`replaying the recorded trace ${name} gives the same decisions`, async () => {
    const file = fileURLToPath(new URL(`${name}.jsonl`, FOLDER))
    const lines = readFileSync(file, 'utf8').trim().split('\n').length
    const result = await runCommandLine(['replay', file])
    assert.is(result.code, 0, result.stderr)
    assert.match(result.stdout, `${lines} decisions: ${lines} the same, 0 different`)
  })
}

test.run()
