import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runLinkDay } from '../__fixtures__/runLinkDay.js'

const test = suite('a host whose links to some targets of each zone hang, in virtual time')

// Guards against requests that hang at one target after the other, because the targets around each of them answer.
test('callers are served in the cut, seed 118', async () => {
  assert.equal((await runLinkDay(118)).unserved, [])
})

test.run()
