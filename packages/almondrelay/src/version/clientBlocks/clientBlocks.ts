import { AddressFamily } from './addressFamily.js'
import type { ClientBlock } from './clientBlock.js'
import { FamilyTable } from './familyTable.js'
import { parseIp } from './parseIp.js'
import { parsePrefix } from './parsePrefix.js'

type BlocksByRegion = ReadonlyMap<string, readonly string[]>

/** Region numbers have 16 bits, so a table is rebuilt from scratch once it has assigned this many. */
const MAX_REGION_NUMBERS = 60_000

/**
 * Finds the region nearest to a caller by the caller's IP address: the region that lists the longest
 * matching prefix among its client blocks. Immutable; the table of the next revision shares the parts
 * that did not change. If two regions list the same prefix, the first by name holds it, on every host.
 */
export class ClientBlocks {
  static readonly empty = new ClientBlocks(new Map(), [''], FamilyTable.createEmpty(AddressFamily.v4), FamilyTable.createEmpty(AddressFamily.v6))

  private constructor (
    private readonly lists: BlocksByRegion,
    /** Region names by region number; 0 stands for none. */
    private readonly names: readonly string[],
    private readonly v4: FamilyTable,
    private readonly v6: FamilyTable
  ) {}

  /** Memory used by the typed arrays, in bytes. */
  get bytes (): number {
    return this.v4.bytes + this.v6.bytes
  }

  /** Returns the table for these lists. A list that is the same object as before counts as unchanged. */
  withRegions (lists: BlocksByRegion): ClientBlocks {
    if (this.names.length + lists.size > MAX_REGION_NUMBERS && this !== ClientBlocks.empty) return ClientBlocks.empty.withRegions(lists)
    const names = [...this.names]
    const removed: ClientBlock[] = []
    const added: ClientBlock[] = []
    for (const region of new Set([...this.lists.keys(), ...lists.keys()])) {
      const before = this.lists.get(region)
      const after = lists.get(region)
      if (before === after) continue
      const regionNumber = findRegionNumber(names, region)
      addNewBlocks(removed, before, after, regionNumber)
      addNewBlocks(added, after, before, regionNumber)
    }
    if (removed.length === 0 && added.length === 0) return new ClientBlocks(lists, names, this.v4, this.v6)
    const compareRegions = (left: number, right: number): number => (names[left] ?? '') < (names[right] ?? '') ? -1 : 1
    const updateTable = (table: FamilyTable, family: AddressFamily): FamilyTable => table.withChanges(removed.filter((block) => block.start.family === family), added.filter((block) => block.start.family === family), compareRegions)
    return new ClientBlocks(lists, names, updateTable(this.v4, AddressFamily.v4), updateTable(this.v6, AddressFamily.v6))
  }

  /** Returns the region nearest to a caller; undefined if no block contains the caller's IP address. */
  findRegion (ip: string): string | undefined {
    const address = parseIp(ip)
    if (address === undefined) return undefined
    const regionNumber = (address.family === AddressFamily.v4 ? this.v4 : this.v6).findRegionNumber(address)
    return regionNumber === 0 ? undefined : this.names[regionNumber]
  }
}

const findRegionNumber = (names: string[], region: string): number => {
  const known = names.indexOf(region, 1)
  return known > 0 ? known : names.push(region) - 1
}

// Adds the blocks whose texts are in `list` but not in `other`. Two texts for the same prefix are two
// blocks, so that removing one of them leaves the other.
const addNewBlocks = (blocks: ClientBlock[], list: readonly string[] | undefined, other: readonly string[] | undefined, regionNumber: number): void => {
  const seen = new Set(other)
  for (const text of list ?? []) {
    const prefix = seen.has(text) ? undefined : parsePrefix(text)
    seen.add(text)
    if (prefix !== undefined) blocks.push({ start: prefix.start, length: prefix.length, regionNumber })
  }
}
