import { ClientBlocks, createSeededRandom } from 'almondrelay'
import type { CapacitySection } from './capacitySection.js'
import { computeLineFit } from './computeLineFit.js'
import { generateBlocks } from './generateBlocks.js'
import { measureHeap } from './measureHeap.js'
import { measureMs } from './measureMs.js'
import type { Point } from './point.js'
import { targetSize } from './targetSize.js'

const SIZES = [44_375, 177_500, 355_000, 710_000]
const SITES = [21, 150, 600, 1_200]
const LOOKUPS = 100_000
const MEMORY_AIM = 16e6
const LOOKUP_AIM_US = 1

/** Memory and time of the table of client blocks. */
export function measureClientBlocks (): CapacitySection {
  const memory: Point[] = []
  const texts: Point[] = []
  const build: Point[] = []
  const lookup: Point[] = []
  const change: Point[] = []
  for (const size of SIZES) {
    const { made: lists, bytes } = measureHeap(() => generateBlocks(size, targetSize.sites, createSeededRandom(size)))
    texts.push({ x: size, y: bytes })
    const begunAt = performance.now()
    const table = ClientBlocks.empty.withRegions(lists)
    build.push({ x: size, y: performance.now() - begunAt })
    memory.push({ x: size, y: table.bytes })
    lookup.push({ x: size, y: measureLookup(table) })
    change.push({ x: size, y: measureChange(table, lists) })
  }
  const regions = generateBlocks(targetSize.clientBlocks, targetSize.regions, createSeededRandom(21))
  const changeOfRegion = measureChange(ClientBlocks.empty.withRegions(regions), regions)
  const sites = SITES.map((count) => ({ x: count, y: measureLookup(ClientBlocks.empty.withRegions(generateBlocks(177_500, count, createSeededRandom(count)))) }))
  return {
    title: 'Client blocks (a quarter IPv6)',
    slopes: [
      { what: 'memory of the table', xName: 'blocks', unit: 'bytes', points: memory },
      { what: 'memory of their texts in the configuration', xName: 'blocks', unit: 'bytes', points: texts },
      { what: 'time to build it', xName: 'blocks', unit: 'ms', points: build },
      { what: 'time of a look-up', xName: 'blocks', unit: 'us', points: lookup },
      { what: 'time to change two blocks of one of 1,200 sites', xName: 'blocks', unit: 'ms', points: change },
      { what: 'time of a look-up', xName: 'sites, at 177,500 blocks', unit: 'us', points: sites }
    ],
    products: [
      { what: 'table at 710,000 blocks', value: readAt(memory), unit: 'bytes', limit: MEMORY_AIM },
      { what: 'look-up at 710,000 blocks', value: readAt(lookup), unit: 'us', limit: LOOKUP_AIM_US },
      { what: 'texts of 710,000 blocks in the configuration', value: readAt(texts), unit: 'bytes', limit: targetSize.memoryBytes },
      { what: 'time to build the table of 710,000 blocks, once at the start', value: readAt(build), unit: 'ms', limit: targetSize.secondsToForce * 1_000 },
      { what: 'time to change two blocks of one of 21 regions', value: changeOfRegion, unit: 'ms', limit: targetSize.secondsToForce * 1_000 },
      { what: 'blocks that 16 MB hold', value: MEMORY_AIM / computeLineFit(memory).slope, unit: 'blocks' }
    ]
  }
}

const readAt = (points: readonly Point[]): number => points.at(-1)?.y ?? 0

const measureChange = (table: ClientBlocks, lists: ReadonlyMap<string, string[]>): number => {
  const changed = new Map(lists).set('site-0', [...(lists.get('site-0') ?? []).slice(1), '203.0.113.0/24'])
  return measureMs(() => { table.withRegions(changed) })
}

const measureLookup = (table: ClientBlocks): number => {
  const random = createSeededRandom(1)
  const pick = (below: number): number => Math.floor(random() * below)
  const ips = Array.from({ length: LOOKUPS }, () => random() < 0.25
    ? `${(0x2400 + pick(0x600)).toString(16)}:${pick(65_536).toString(16)}:${pick(65_536).toString(16)}::1`
    : `${1 + pick(222)}.${pick(256)}.${pick(256)}.${pick(256)}`)
  return measureMs(() => { for (const ip of ips) table.findRegion(ip) }) * 1_000 / LOOKUPS
}
