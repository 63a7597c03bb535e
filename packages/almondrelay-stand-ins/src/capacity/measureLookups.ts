import { computeLookupAnswer, createSeededRandom, type LookupAnswer } from 'almondrelay'
import type { CapacitySection } from './capacitySection.js'
import { measureMs } from './measureMs.js'
import { targetSize } from './targetSize.js'

const HOSTS = [8, 60, 480, 4_800]
const ANSWERS = 20

/** Time to compute the answer to a look-up. */
export function measureLookups (): CapacitySection {
  const points = HOSTS.map((count) => ({ x: count, y: measureAnswer(count) }))
  const lookupsOfHost = targetSize.lookupsPerSecond / targetSize.hosts
  const atZone = points.find(({ x }) => x === targetSize.hostsInZone)?.y ?? 0
  return {
    title: 'Look-ups',
    slopes: [{ what: 'time to compute an answer', xName: 'hosts weighed', unit: 'us', points }],
    products: [
      { what: 'look-ups a second of one host', value: lookupsOfHost, unit: '1/s' },
      { what: 'share of a core, an answer over the 60 hosts of a zone computed for each look-up', value: lookupsOfHost * atZone / 1e6, unit: 'core' },
      { what: 'the same over all 4,800 hosts', value: lookupsOfHost * (points.at(-1)?.y ?? 0) / 1e6, unit: 'core' }
    ]
  }
}

const measureAnswer = (count: number): number => {
  const random = createSeededRandom(count)
  const hosts = Array.from({ length: count }, (_, index) => ({ name: `host-${index}`, region: `region-${index % targetSize.regions}`, freeSlots: index % 7, slots: 12, ageMs: 200, leaving: false, reachable: true }))
  let previous: LookupAnswer | undefined
  const runAnswers = (): void => { for (let index = 0; index < ANSWERS; index += 1) previous = computeLookupAnswer({ hosts, ttlMs: 2_000 }, previous, index * 500, random) }
  return measureMs(runAnswers) * 1_000 / ANSWERS
}
