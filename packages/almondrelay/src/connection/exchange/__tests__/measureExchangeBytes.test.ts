import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { measureExchangeBytes } from '../measureExchangeBytes.js'

const CONTROL_BYTES_A_SECOND = 12_000

test('heartbeats stay under the control limit and do not grow from 10 to 60 hosts a zone, or with zones', () => {
  const small = measureExchangeBytes({ regions: 7, zonesARegion: 4, hostsAZone: 10, services: 4 })
  const target = measureExchangeBytes({ regions: 20, zonesARegion: 4, hostsAZone: 60, services: 4 })
  assert.ok(target.bytesASecond < CONTROL_BYTES_A_SECOND, String(target.bytesASecond))
  assert.ok(target.bytesASecond < small.bytesASecond * 1.2, `${small.bytesASecond} to ${target.bytesASecond}`)
})

test.run()
