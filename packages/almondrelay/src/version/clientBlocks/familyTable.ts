import type { AddressFamily } from './addressFamily.js'
import { AddressFamily as Family } from './addressFamily.js'
import { BlockChunk } from './blockChunk.js'
import type { ClientBlock } from './clientBlock.js'
import type { IpAddress } from './ipAddress.js'

interface Change {
  removed: ClientBlock[]
  added: ClientBlock[]
}

type CompareRegions = (left: number, right: number) => number

/** Number of the chunk for prefixes that are wider than a chunk; the keys of this chunk are chunk numbers. */
const WIDE_CHUNK = -1
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
    private readonly longBlocks: ReadonlyMap<string, readonly ClientBlock[]>
  ) {}

  static createEmpty (family: AddressFamily): FamilyTable {
    return new FamilyTable(family, new Map(), new Map())
  }

  get bytes (): number {
    return [...this.chunks.values()].reduce((sum, chunk) => sum + chunk.bytes, 0)
  }

  /** Returns the table with blocks removed and added; chunks without changes are shared. */
  withChanges (removed: readonly ClientBlock[], added: readonly ClientBlock[], compareRegions: CompareRegions): FamilyTable {
    const changes = new Map<number, Change>()
    const findChange = (block: ClientBlock): Change => {
      const chunk = block.length < BITS[this.family].chunk ? WIDE_CHUNK : block.start.chunk
      const change = changes.get(chunk) ?? { removed: [], added: [] }
      changes.set(chunk, change)
      return change
    }
    for (const block of removed) if (block.length <= 64) findChange(block).removed.push(block)
    for (const block of added) if (block.length <= 64) findChange(block).added.push(block)
    const chunks = new Map(this.chunks)
    for (const [chunk, change] of changes) this.rebuildChunk(chunks, chunk, change, compareRegions)
    return new FamilyTable(this.family, chunks, this.updateLongBlocks(removed, added, compareRegions))
  }

  /** Finds the region number of the longest prefix that contains the address; 0 if there is none. */
  findRegionNumber (ip: IpAddress): number {
    if (this.longBlocks.size > 0) {
      const regionNumber = this.findLongBlockRegion(ip)
      if (regionNumber !== 0) return regionNumber
    }
    const regionNumber = this.chunks.get(ip.chunk)?.findRegionNumber(ip.key) ?? 0
    return regionNumber !== 0 ? regionNumber : this.chunks.get(WIDE_CHUNK)?.findRegionNumber(ip.chunk) ?? 0
  }

  private rebuildChunk (chunks: Map<number, BlockChunk>, chunk: number, change: Change, compareRegions: CompareRegions): void {
    const bits = BITS[this.family]
    const keyBits = chunk === WIDE_CHUNK ? bits.chunk : bits.key
    const toChunkBlock = (block: ClientBlock) => chunk === WIDE_CHUNK
      ? { key: block.start.chunk, size: 2 ** (bits.chunk - block.length), regionNumber: block.regionNumber }
      : { key: block.start.key, size: 2 ** (bits.chunk + bits.key - block.length), regionNumber: block.regionNumber }
    const kept = removeOnce(chunks.get(chunk)?.listBlocks() ?? [], change.removed.map(toChunkBlock))
    const blocks = [...kept, ...change.added.map(toChunkBlock)]
    if (blocks.length === 0) chunks.delete(chunk)
    else chunks.set(chunk, BlockChunk.build(blocks, 2 ** keyBits, compareRegions))
  }

  private updateLongBlocks (removed: readonly ClientBlock[], added: readonly ClientBlock[], compareRegions: CompareRegions): ReadonlyMap<string, readonly ClientBlock[]> {
    const isLong = (block: ClientBlock): boolean => block.length > 64
    if (!removed.some(isLong) && !added.some(isLong)) return this.longBlocks
    const longBlocks = new Map(this.longBlocks)
    for (const block of removed.filter(isLong)) {
      const key = makeLongBlockKey(block.start)
      const present = longBlocks.get(key) ?? []
      longBlocks.set(key, present.toSpliced(present.findIndex((each) => isSameBlock(each, block)), 1))
      if (longBlocks.get(key)?.length === 0) longBlocks.delete(key)
    }
    for (const block of added.filter(isLong)) {
      const key = makeLongBlockKey(block.start)
      longBlocks.set(key, [...longBlocks.get(key) ?? [], block].sort((left, right) => right.length - left.length || compareRegions(left.regionNumber, right.regionNumber)))
    }
    return longBlocks
  }

  private findLongBlockRegion (ip: IpAddress): number {
    return this.longBlocks.get(makeLongBlockKey(ip))?.find((block) => matchLowBits(block, ip))?.regionNumber ?? 0
  }
}

interface ChunkBlock {
  key: number
  size: number
  regionNumber: number
}

// Removes one occurrence of each removed block.
const removeOnce = (blocks: ChunkBlock[], removed: readonly ChunkBlock[]): ChunkBlock[] => {
  if (removed.length === 0) return blocks
  const makeKey = ({ key, size, regionNumber }: ChunkBlock): string => `${key}/${size}/${regionNumber}`
  const counts = new Map<string, number>()
  for (const block of removed) counts.set(makeKey(block), (counts.get(makeKey(block)) ?? 0) + 1)
  return blocks.filter((block) => {
    const key = makeKey(block)
    const count = counts.get(key) ?? 0
    if (count > 0) counts.set(key, count - 1)
    return count === 0
  })
}

const makeLongBlockKey = (ip: IpAddress): string => `${ip.chunk}/${ip.key}`

const isSameBlock = (left: ClientBlock, right: ClientBlock): boolean =>
  left.length === right.length && left.regionNumber === right.regionNumber && left.start.lowHigh === right.start.lowHigh && left.start.lowLow === right.start.lowLow

const matchLowBits = (block: ClientBlock, ip: IpAddress): boolean => {
  const highBits = Math.min(32, block.length - 64)
  const lowBits = Math.max(0, block.length - 96)
  return hasEqualPrefix(block.start.lowHigh, ip.lowHigh, highBits) && hasEqualPrefix(block.start.lowLow, ip.lowLow, lowBits)
}

const hasEqualPrefix = (left: number, right: number, bits: number): boolean =>
  Math.floor(left / 2 ** (32 - bits)) === Math.floor(right / 2 ** (32 - bits))
