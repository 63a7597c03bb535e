import type { Answer } from 'almondrelay'
import assert from 'node:assert/strict'

interface Expected {
  outcome: Answer['outcome']
  reason?: Answer['reason']
}

/** Checks a final answer that has to be there by now. */
export function checkAnswer (answer: Answer | undefined, expected: Expected): void {
  assert.ok(answer !== undefined, `no answer yet; expected ${expected.outcome}`)
  assert.equal(answer.outcome, expected.outcome, `${answer.outcome} (${answer.reason}: ${answer.message})`)
  if (expected.reason !== undefined) assert.equal(answer.reason, expected.reason)
}
