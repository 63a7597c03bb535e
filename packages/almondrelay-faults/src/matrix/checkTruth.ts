import type { Answer } from 'almondrelay'
import assert from 'node:assert/strict'
import type { FakeTargets } from '../fleet/fakeTargets.js'

/**
 * What callers were told against what the targets ran, which nothing inside the system can fake: at most
 * one run of each id, none of one told `not-run`, and the bytes of its own answer for each `run`.
 */
export function checkTruth (targets: FakeTargets, told: ReadonlyArray<{ id: string, answer: Answer }>): void {
  const ids = new Set(told.map(({ id }) => id))
  for (const id of ids) {
    const runs = targets.countRuns(id)
    assert.ok(runs <= 1, `${id} ran ${runs} times`)
    const answers = told.filter((each) => each.id === id).map((each) => each.answer)
    const last = answers[answers.length - 1]
    if (last?.outcome === 'not-run') assert.equal(runs, 0, `${id} was told not-run (${last.reason}) and ran`)
    for (const answer of answers.filter((each) => each.outcome === 'run')) {
      assert.equal(runs, 1, `${id} was told run and did not`)
      assert.ok(new TextDecoder().decode(answer.body).startsWith(`${id} at `), `${id} got another answer`)
    }
  }
}
