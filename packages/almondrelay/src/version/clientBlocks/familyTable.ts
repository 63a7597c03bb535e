import type { AddressFamily } from './addressFamily.js'
import { AddressFamily as Family } from './addressFamily.js'
import { BlockChunk } from './blockChunk.js'
import type { ClientBlock } from './clientBlock.js'
import type { IpNumber } from './ipNumber.js'

interface Change {
  removed: ClientBlock[]
  added: ClientBlock[]
}

type CompareSites = (left: number, right: number) => number

/** Number of the chunk for prefixes that are wider than a chunk; the keys of this chunk are chunk numbers. */
const WIDE = -1
const BITS = {
  [Family.v4]: { chunk: 8, key: 24 },
  [Family.v6]: { chunk: 16, key: 48 }
} as const

/** The blocks of one IP address family, by chunks of the address space. Immutable. */
export class FamilyTable {
  private constructor (
    private readonly family: AddressFamily,
    private readonly chunks: ReadonlyMap<number, BlockChunk>,
    /** IPv6 blocks with prefixes longer than 64 bits, by their first 64 bits; longest prefix first. */
    private readonly deep: ReadonlyMap<string, readonly ClientBlock[]>
  ) {}

  static createEmpty (family: AddressFamily): FamilyTable {
    return new FamilyTable(family, new Map(), new Map())
  }

  get bytes (): number {
    return [...this.chunks.values()].reduce((sum, chunk) => sum + chunk.bytes, 0)
  }

  /** Returns the table with blocks removed and added; chunks without changes are shared. */
  withChanges (removed: readonly ClientBlock[], added: readonly ClientBlock[], compareSites: CompareSites): FamilyTable {
    const changes = new Map<number, Change>()
    const findChange = (block: ClientBlock): Change => {
      const chunk = block.length < BITS[this.family].chunk ? WIDE : block.start.chunk
      const change = changes.get(chunk) ?? { removed: [], added: [] }
      changes.set(chunk, change)
      return change
    }
    for (const block of removed) if (block.length <= 64) findChange(block).removed.push(block)
    for (const block of added) if (block.length <= 64) findChange(block).added.push(block)
    const chunks = new Map(this.chunks)
    for (const [chunk, change] of changes) this.rebuildChunk(chunks, chunk, change, compareSites)
    return new FamilyTable(this.family, chunks, this.updateDeep(removed, added, compareSites))
  }

  /** Finds the region number of the longest prefix that contains the address; 0 if there is none. */
  findSite (ip: IpNumber): number {
    if (this.deep.size > 0) {
      const site = this.findDeepSite(ip)
      if (site !== 0) return site
    }
    const site = this.chunks.get(ip.chunk)?.findSite(ip.key) ?? 0
    return site !== 0 ? site : this.chunks.get(WIDE)?.findSite(ip.chunk) ?? 0
  }

  private rebuildChunk (chunks: Map<number, BlockChunk>, chunk: number, change: Change, compareSites: CompareSites): void {
    const bits = BITS[this.family]
    const keyBits = chunk === WIDE ? bits.chunk : bits.key
    const toChunkBlock = (block: ClientBlock) => chunk === WIDE
      ? { key: block.start.chunk, size: 2 ** (bits.chunk - block.length), site: block.site }
      : { key: block.start.key, size: 2 ** (bits.chunk + bits.key - block.length), site: block.site }
    const kept = removeOnce(chunks.get(chunk)?.listBlocks() ?? [], change.removed.map(toChunkBlock))
    const blocks = [...kept, ...change.added.map(toChunkBlock)]
    if (blocks.length === 0) chunks.delete(chunk)
    else chunks.set(chunk, BlockChunk.build(blocks, 2 ** keyBits, compareSites))
  }

  private updateDeep (removed: readonly ClientBlock[], added: readonly ClientBlock[], compareSites: CompareSites): ReadonlyMap<string, readonly ClientBlock[]> {
    const isDeep = (block: ClientBlock): boolean => block.length > 64
    if (!removed.some(isDeep) && !added.some(isDeep)) return this.deep
    const deep = new Map(this.deep)
    for (const block of removed.filter(isDeep)) {
      const key = makeDeepKey(block.start)
      const present = deep.get(key) ?? []
      deep.set(key, present.toSpliced(present.findIndex((each) => isSameBlock(each, block)), 1))
      if (deep.get(key)?.length === 0) deep.delete(key)
    }
    for (const block of added.filter(isDeep)) {
      const key = makeDeepKey(block.start)
      deep.set(key, [...deep.get(key) ?? [], block].sort((left, right) => right.length - left.length || compareSites(left.site, right.site)))
    }
    return deep
  }

  private findDeepSite (ip: IpNumber): number {
    return this.deep.get(makeDeepKey(ip))?.find((block) => matchLowBits(block, ip))?.site ?? 0
  }
}

interface ChunkBlock {
  key: number
  size: number
  site: number
}

// Removes one occurrence of each removed block.
const removeOnce = (blocks: ChunkBlock[], removed: readonly ChunkBlock[]): ChunkBlock[] => {
  if (removed.length === 0) return blocks
  const makeKey = ({ key, size, site }: ChunkBlock): string => `${key}/${size}/${site}`
  const counts = new Map<string, number>()
  for (const block of removed) counts.set(makeKey(block), (counts.get(makeKey(block)) ?? 0) + 1)
  return blocks.filter((block) => {
    const key = makeKey(block)
    const count = counts.get(key) ?? 0
    if (count > 0) counts.set(key, count - 1)
    return count === 0
  })
}

const makeDeepKey = (ip: IpNumber): string => `${ip.chunk}/${ip.key}`

const isSameBlock = (left: ClientBlock, right: ClientBlock): boolean =>
  left.length === right.length && left.site === right.site && left.start.lowHigh === right.start.lowHigh && left.start.lowLow === right.start.lowLow

const matchLowBits = (block: ClientBlock, ip: IpNumber): boolean => {
  const highBits = Math.min(32, block.length - 64)
  const lowBits = Math.max(0, block.length - 96)
  return isEqualIn(block.start.lowHigh, ip.lowHigh, highBits) && isEqualIn(block.start.lowLow, ip.lowLow, lowBits)
}

const isEqualIn = (left: number, right: number, bits: number): boolean =>
  Math.floor(left / 2 ** (32 - bits)) === Math.floor(right / 2 ** (32 - bits))
