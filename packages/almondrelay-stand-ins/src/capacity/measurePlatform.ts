import { ConfigurationStore, createSeededRandom, followPlatformChanges, type ResourceKind } from 'almondrelay'
import { FakeClock, FakePlatform } from 'almondrelay/testing'
import type { CapacitySection } from './capacitySection.js'
import { computeLineFit } from './computeLineFit.js'
import type { Point } from './point.js'
import { targetSize } from './targetSize.js'

const ZONES = [1, 5, 10, 20]
const CHANGES = [0, 10, 20, 40]
const WATCHERS_A_ZONE = 2
const SECONDS = 60
const DAY_S = 86_400
/** Each host reads the platform's list of hosts this often. */
const HOST_LIST_PER_SECOND = 1

/** Calls to the platform a second for the configuration, counted by a fake platform in virtual time. */
export async function measurePlatform (): Promise<CapacitySection> {
  const byZones = await measureAll(ZONES.map((zones) => ({ x: zones, zones, changes: 0 })))
  const byChanges = await measureAll(CHANGES.map((changes) => ({ x: changes, zones: 5, changes })))
  const perZone = computeLineFit(byZones).slope
  const perChangeAndZone = computeLineFit(byChanges).slope * SECONDS / 5
  const quiet = perZone * targetSize.availabilityZones
  const changing = perChangeAndZone * targetSize.availabilityZones * targetSize.changesPerDay / DAY_S
  return {
    title: 'Platform calls',
    slopes: [
      { what: 'calls a second of watchers in quiet times', xName: 'zones', unit: '1/s', points: byZones },
      { what: 'calls a second of watchers of 5 zones', xName: 'changes a minute', unit: '1/s', points: byChanges }
    ],
    products: [
      { what: 'watchers of 80 zones, quiet', value: quiet, unit: '1/s', limit: targetSize.platformReadsPerSecond },
      { what: 'watchers of 80 zones, more for 19,000 changes a day', value: changing, unit: '1/s', limit: targetSize.platformReadsPerSecond },
      { what: 'reads of the host list, by every host each second', value: targetSize.hosts * HOST_LIST_PER_SECOND, unit: '1/s', limit: targetSize.platformReadsPerSecond },
      { what: 'reads of the host list, were it read by the watchers only', value: targetSize.availabilityZones * WATCHERS_A_ZONE * HOST_LIST_PER_SECOND, unit: '1/s', limit: targetSize.platformReadsPerSecond }
    ]
  }
}

const measureAll = async (cases: ReadonlyArray<{ x: number, zones: number, changes: number }>): Promise<Point[]> => {
  const points: Point[] = []
  for (const { x, zones, changes } of cases) points.push({ x, y: await countCalls(zones, changes) })
  return points
}

const countCalls = async (zones: number, changes: number): Promise<number> => {
  const clock = new FakeClock()
  const platform = new FakePlatform(clock)
  const owner = new AbortController()
  const quiet = { warn () {}, info () {}, debug () {} } as unknown as Parameters<typeof followPlatformChanges>[0]['log']
  const stores = Array.from({ length: zones * WATCHERS_A_ZONE }, () => new ConfigurationStore())
  const tasks = stores.map((store, index) => followPlatformChanges({ platform, store, clock, random: createSeededRandom(index), log: quiet, isWatcher: () => true }, owner.signal))
  await clock.advance(1_000)
  const before = platform.countCalls()
  for (let second = 0; second < SECONDS; second += 1) {
    if (isDue(second, changes)) await writeChange(platform, stores[0]?.current.revision ?? 0, owner.signal)
    await clock.advance(1_000)
  }
  const calls = platform.countCalls() - before - changes
  owner.abort()
  await clock.advance(10_000)
  await Promise.all(tasks)
  return calls / SECONDS
}

const isDue = (second: number, changes: number): boolean => Math.floor((second + 1) * changes / SECONDS) > Math.floor(second * changes / SECONDS)

const writeChange = async (platform: FakePlatform, revision: number, signal: AbortSignal): Promise<void> => {
  const next = revision + 1
  const kind: ResourceKind = 'Region'
  const change = { revision: next, writeId: `w${next}`, author: 'capacity', writtenAt: 0, action: 'put', resource: { kind, name: 'akl', revision: next, spec: { availabilityZones: ['akl-a'], maxInFlight: next, clientBlocks: [] } } }
  await platform.put(`changes/${String(next).padStart(12, '0')}`, JSON.stringify(change), 0, signal)
}
