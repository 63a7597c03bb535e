import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { deployments } from '../../__fixtures__/deployments.js'
import { createSeededRandom } from '../../createSeededRandom.js'
import { RefusalReason } from '../../refusalReason.js'
import { choosePlacement } from '../choosePlacement.js'
import type { PlacementInput } from '../placementInput.js'
import type { ZoneView } from '../zoneView.js'

const LOAD = 0.7
const STEPS = 20_000

for (const deployment of deployments) {
  for (const size of deployment.services) {
    test(`loss of a region at 70% load: ${deployment.name}/${size.service}`, () => {
      // When a region fails, its callers move to the hosts of the two others, which are at 70% load. Placed by
      // latency alone, their requests would overload the next region and its link, and that region fails too.
      const random = createSeededRandom(61)
      const regions = ['r0', 'r1', 'r2']
      const slots = Math.round(size.targets * size.slots / deployment.zones)
      const cap = Math.round(slots * 0.6)
      const running = new Map<string, number>()
      const shifted = new Map<string, number>()
      const ends: Array<{ at: number, zone: string, link: string | undefined }> = []
      const maxRunning = { zone: 0, link: 0 }
      const counts = { run: 0, refused: 0, overload: 0 }
      const count = (map: Map<string, number>, name: string): number => map.get(name) ?? 0
      const add = (map: Map<string, number>, name: string, by: number): void => { map.set(name, count(map, name) + by) }
      const gapMs = size.meanMs / (LOAD * 6 * slots)
      const zones = [1, 2].flatMap((region) => [0, 1].map((zone) => ({ zone: `r${region}-${zone}`, region: `r${region}` })))
      for (let step = 0; step < STEPS; step += 1) {
        const now = step * gapMs
        for (const ended of ends.filter(({ at }) => at <= now)) {
          ends.splice(ends.indexOf(ended), 1)
          add(running, ended.zone, -1)
          if (ended.link !== undefined) add(shifted, ended.link, -1)
        }
        const callerRegion = regions[step % 3] as string
        const own = zones.filter(({ region }) => callerRegion === 'r0' || region === callerRegion)[Math.floor(random() * (callerRegion === 'r0' ? 4 : 2))]!
        const views: ZoneView[] = zones.map(({ zone, region }) => ({
          availabilityZone: zone,
          region,
          freeSlots: slots - count(running, zone),
          slots,
          ageMs: zone === own.zone ? 0 : 500,
          draining: false,
          reachable: true,
          latencyMs: zone === own.zone ? 0 : region === own.region ? 1 : deployment.regionLatencyMs
        }))
        const caps = ['r1', 'r2'].map((toRegion) => ({ fromRegion: 'r0', toRegion, free: cap - count(shifted, `r0>${toRegion}`), reason: RefusalReason.shiftCapFull }))
        const input: PlacementInput = { service: size.service, ownZone: own.zone, ownRegion: own.region, callerRegion, spill: true, zones: views, caps, remainingMs: 1_000, costMs: size.meanMs }
        const placement = choosePlacement(input, now, random)
        const candidates = placement.kind === 'zones' ? placement.zones : []
        const granted = candidates.find(({ availabilityZone }) => slots - count(running, availabilityZone) > 0)
        if (granted === undefined) {
          counts.refused += 1
          continue
        }
        const link = callerRegion === 'r0' ? `r0>${granted.region}` : undefined
        add(running, granted.availabilityZone, 1)
        if (link !== undefined) add(shifted, link, 1)
        maxRunning.zone = Math.max(maxRunning.zone, count(running, granted.availabilityZone))
        if (link !== undefined) maxRunning.link = Math.max(maxRunning.link, count(shifted, link))
        counts.run += 1
        ends.push({ at: now - Math.log(1 - random()) * size.meanMs, zone: granted.availabilityZone, link })
      }
      console.log(`${deployment.name}/${size.service}: run ${counts.run}, refused ${counts.refused}, most in a zone ${maxRunning.zone} of ${slots}, most shifted ${maxRunning.link} of ${cap}`)
      assert.ok(maxRunning.zone <= slots)
      assert.ok(maxRunning.link <= cap)
      assert.is(counts.run + counts.refused, STEPS)
    })
  }
}

test('a refusal states the limit that is used up', () => {
  const zone: ZoneView = { availabilityZone: 'b', region: 'r1', freeSlots: 5, slots: 9, ageMs: 500, draining: false, reachable: true, latencyMs: 20 }
  const input: PlacementInput = { service: 's', ownZone: 'a', ownRegion: 'r0', callerRegion: 'r0', spill: true, zones: [zone], caps: [], remainingMs: 1_000, costMs: 20 }
  const random = createSeededRandom(1)
  const explain = (parts: Partial<PlacementInput>): string => {
    const placement = choosePlacement({ ...input, ...parts }, 0, random)
    return placement.kind === 'refuse' ? placement.reason : placement.zones.map(({ availabilityZone }) => availabilityZone).join()
  }
  assert.is(explain({}), 'b')
  assert.is(explain({ caps: [{ fromRegion: 'r0', toRegion: 'r1', free: 0, reason: RefusalReason.linkFull }] }), RefusalReason.linkFull)
  assert.is(explain({ zones: [{ ...zone, ageMs: 20_000 }] }), RefusalReason.noCredit)
  assert.is(explain({ zones: [{ ...zone, draining: true }] }), RefusalReason.noTarget)
  assert.is(explain({ remainingMs: 50 }), RefusalReason.deadlineUnreachable)
  assert.is(explain({ spill: false, weights: { r0: 1 } }), RefusalReason.noTarget)
})

test.run()
