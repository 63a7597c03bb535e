import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runRandomDay } from '../__fixtures__/runRandomDay.js'

const test = suite('allowances while regions part within a second of a rush or of a start')

// An organisation begins to send several times its limit, and within the same second regions lose each other, or all hosts are
// started again while they are parted. For the second and a half in which each side still counts the others as heard, each takes
// most of what is left of the limit: together more than the operators bear.
for (const seed of [34, 40, 95, 119, 124, 145, 149, 156, 163, 194]) {
  test(`seed ${seed}`, () => {
    const { most, bound } = runRandomDay(seed)
    assert.ok(most <= bound, `${most} of ${bound}`)
  })
}

test.run()
