import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { measureExchangeBytes } from '../measureExchangeBytes.js'

const MAX_CONTROL_BYTES_PER_SECOND = 12_000

test('heartbeats stay under the control limit and do not grow from 10 to 60 hosts a zone, or with zones', () => {
  const small = measureExchangeBytes({ regions: 7, zonesPerRegion: 4, hostsPerZone: 10, services: 4 })
  const target = measureExchangeBytes({ regions: 20, zonesPerRegion: 4, hostsPerZone: 60, services: 4 })
  assert.ok(target.bytesPerSecond < MAX_CONTROL_BYTES_PER_SECOND, String(target.bytesPerSecond))
  assert.ok(target.bytesPerSecond < small.bytesPerSecond * 1.2, `${small.bytesPerSecond} to ${target.bytesPerSecond}`)
})

test.run()
