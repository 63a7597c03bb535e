import { AddressFamily } from './addressFamily.js'
import type { ClientBlock } from './clientBlock.js'
import { FamilyTable } from './familyTable.js'
import { parseIp } from './parseIp.js'
import { parsePrefix } from './parsePrefix.js'

type BlocksByRegion = ReadonlyMap<string, readonly string[]>

/** Site numbers have 16 bits; a table that has seen this many names is built anew. */
const MAX_SITES = 60_000

/**
 * Which region a caller is nearest to, by its IP number: the longest of the prefixes that
 * regions list as their client blocks. Immutable; the table of the next revision shares what did
 * not change. Where two regions list one prefix, the first by name holds it, on every host.
 */
export class ClientBlocks {
  static readonly empty = new ClientBlocks(new Map(), [''], FamilyTable.createEmpty(AddressFamily.v4), FamilyTable.createEmpty(AddressFamily.v6))

  private constructor (
    private readonly lists: BlocksByRegion,
    /** Region names by site number; 0 stands for none. */
    private readonly names: readonly string[],
    private readonly v4: FamilyTable,
    private readonly v6: FamilyTable
  ) {}

  /** Bytes of the typed arrays. */
  get bytes (): number {
    return this.v4.bytes + this.v6.bytes
  }

  /** The table of these lists. A list that is the same object as before is taken as unchanged. */
  withRegions (lists: BlocksByRegion): ClientBlocks {
    if (this.names.length + lists.size > MAX_SITES && this !== ClientBlocks.empty) return ClientBlocks.empty.withRegions(lists)
    const names = [...this.names]
    const removed: ClientBlock[] = []
    const added: ClientBlock[] = []
    for (const region of new Set([...this.lists.keys(), ...lists.keys()])) {
      const before = this.lists.get(region)
      const after = lists.get(region)
      if (before === after) continue
      const site = findSiteNumber(names, region)
      addDifference(removed, before, after, site)
      addDifference(added, after, before, site)
    }
    if (removed.length === 0 && added.length === 0) return new ClientBlocks(lists, names, this.v4, this.v6)
    const compareSites = (left: number, right: number): number => (names[left] ?? '') < (names[right] ?? '') ? -1 : 1
    const updateTable = (table: FamilyTable, family: AddressFamily): FamilyTable => table.withChanges(removed.filter((block) => block.start.family === family), added.filter((block) => block.start.family === family), compareSites)
    return new ClientBlocks(lists, names, updateTable(this.v4, AddressFamily.v4), updateTable(this.v6, AddressFamily.v6))
  }

  /** The region that a caller is nearest to; undefined where no block holds its IP number. */
  findRegion (ip: string): string | undefined {
    const number = parseIp(ip)
    if (number === undefined) return undefined
    const site = (number.family === AddressFamily.v4 ? this.v4 : this.v6).findSite(number)
    return site === 0 ? undefined : this.names[site]
  }
}

const findSiteNumber = (names: string[], region: string): number => {
  const known = names.indexOf(region, 1)
  return known > 0 ? known : names.push(region) - 1
}

// Blocks whose texts stand in `list` and not in `other`. Two texts of one prefix are two blocks, so
// that taking out one of them leaves the other.
const addDifference = (blocks: ClientBlock[], list: readonly string[] | undefined, other: readonly string[] | undefined, site: number): void => {
  const seen = new Set(other)
  for (const text of list ?? []) {
    const prefix = seen.has(text) ? undefined : parsePrefix(text)
    seen.add(text)
    if (prefix !== undefined) blocks.push({ start: prefix.start, length: prefix.length, site })
  }
}
