type Keys = Uint32Array | Float64Array

interface ChunkBlock {
  /** First key of the block. */
  key: number
  /** Number of keys in the block, a power of two. */
  size: number
  regionNumber: number
}

const NO_REGION = 0

/**
 * The blocks of one chunk of the address space, with nested prefixes flattened to ranges that
 * don't overlap, so that the longest prefix is found by one binary search. Immutable, so that
 * revisions share the chunks that did not change.
 */
export class BlockChunk {
  private constructor (
    /** The blocks from which the chunk was built: 7 bytes per IPv4 block, 11 per IPv6 block. */
    private readonly blockKeys: Keys,
    private readonly blockBits: Uint8Array,
    private readonly blockRegions: Uint16Array,
    /** First key and region of each range: 6 bytes per IPv4 range, 10 per IPv6 range. */
    private readonly rangeKeys: Keys,
    private readonly rangeRegions: Uint16Array
  ) {}

  /**
   * Builds a chunk.
   *
   * @param blocks In any order.
   * @param keyCount Number of keys in a chunk.
   * @param compareRegions Orders region numbers: of two regions that list the same prefix, the lesser one holds it.
   */
  static build (blocks: readonly ChunkBlock[], keyCount: number, compareRegions: (left: number, right: number) => number): BlockChunk {
    const sorted = [...blocks].sort((left, right) => left.key - right.key || right.size - left.size || compareRegions(right.regionNumber, left.regionNumber))
    const ranges = buildRanges(sorted, keyCount)
    const makeKeys = (keys: readonly number[]): Keys => keyCount <= 2 ** 32 ? Uint32Array.from(keys) : Float64Array.from(keys)
    return new BlockChunk(
      makeKeys(sorted.map((block) => block.key)),
      Uint8Array.from(sorted, (block) => Math.log2(block.size)),
      Uint16Array.from(sorted, (block) => block.regionNumber),
      makeKeys(ranges.keys),
      Uint16Array.from(ranges.regions)
    )
  }

  /** Bytes of the typed arrays. */
  get bytes (): number {
    return this.blockKeys.byteLength + this.blockBits.byteLength + this.blockRegions.byteLength + this.rangeKeys.byteLength + this.rangeRegions.byteLength
  }

  listBlocks (): ChunkBlock[] {
    return Array.from(this.blockKeys, (key, index) => ({ key, size: 2 ** (this.blockBits[index] ?? 0), regionNumber: this.blockRegions[index] ?? NO_REGION }))
  }

  /** Finds the region number of the longest prefix that contains the key; 0 if there is none. */
  findRegionNumber (key: number): number {
    let low = 0
    let high = this.rangeKeys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.rangeKeys[middle] as number) <= key) low = middle + 1
      else high = middle
    }
    return low === 0 ? NO_REGION : this.rangeRegions[low - 1] as number
  }
}

interface Ranges {
  keys: number[]
  regions: number[]
}

// Sweeps over the blocks in order, with the blocks that enclose the current key on a stack.
const buildRanges = (sorted: readonly ChunkBlock[], keyCount: number): Ranges => {
  const ranges: Ranges = { keys: [], regions: [] }
  const enclosing: ChunkBlock[] = []
  const closeUntil = (key: number): void => {
    for (let top = enclosing.at(-1); top !== undefined && top.key + top.size <= key; top = enclosing.at(-1)) {
      enclosing.pop()
      if (top.key + top.size < keyCount) addRange(ranges, top.key + top.size, enclosing.at(-1)?.regionNumber ?? NO_REGION)
    }
  }
  for (const block of sorted) {
    closeUntil(block.key)
    addRange(ranges, block.key, block.regionNumber)
    enclosing.push(block)
  }
  closeUntil(Infinity)
  return ranges
}

const addRange = (ranges: Ranges, key: number, regionNumber: number): void => {
  if (ranges.keys.at(-1) === key) {
    ranges.keys.pop()
    ranges.regions.pop()
  }
  if ((ranges.regions.at(-1) ?? NO_REGION) === regionNumber) return
  ranges.keys.push(key)
  ranges.regions.push(regionNumber)
}
