import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectFailure } from '../../../connection/connectFailure.js'
import { makeTarget } from '../../../request/__fixtures__/makeTarget.js'
import { RoundTripTimes } from '../roundTripTimes.js'
import type { TargetPools } from '../targetPools.js'
import { TargetProber } from '../targetProber.js'

const test = suite('TargetProber')

/** Probes a target whose connections have all closed, or not, after each probe, and returns the number of probes. */
const countProbes = async (results: readonly string[], isUnconnected: boolean): Promise<number> => {
  let probes = 0
  const probe = (): Promise<object> => {
    const result = results[probes] ?? ConnectFailure.lost
    probes += 1
    return Promise.resolve(result === 'connected' ? { kind: 'connected' } : { kind: 'failed', failure: result })
  }
  const pools = { find: () => ({ isUnconnected, probe }) } as unknown as TargetPools
  await new TargetProber(pools, new RoundTripTimes('akl'), new AbortController().signal).probe(makeTarget())
  return probes
}

// Guards against the exit of a target that goes unnoticed: the target closes its connections before its port, and a probe that
// connects in between says that it listens.
test('a target is probed again if the connection of the probe has closed', async () => {
  assert.is(await countProbes(['connected', ConnectFailure.refused], true), 2)
})

test('a target that keeps the connection of the probe, or refuses it without another connection, is not probed again', async () => {
  assert.is(await countProbes(['connected'], false), 1)
  assert.is(await countProbes([ConnectFailure.refused], true), 1)
})

test.run()
