import type { Random } from 'almondrelay'

/** Part of the blocks that is IPv6. */
const V6_PART = 0.25
/** Lengths of IPv4 prefixes, the longest being the most usual, as in public routing tables. */
const V4_LENGTHS = [16, 17, 18, 19, 20, 21, 22, 22, 23, 24, 24, 24, 24, 24, 24]

/** Client blocks at random, divided over sites. */
export function generateBlocks (count: number, sites: number, random: Random): Map<string, string[]> {
  const lists = Array.from({ length: sites }, (): string[] => [])
  for (let index = 0; index < count; index += 1) lists[index % sites]?.push(generateBlock(random))
  return new Map(lists.map((list, site) => [`site-${site}`, list]))
}

const generateBlock = (random: Random): string => {
  const pick = (below: number): number => Math.floor(random() * below)
  if (random() < V6_PART) return `${(0x2400 + pick(0x600)).toString(16)}:${pick(65_536).toString(16)}:${pick(65_536).toString(16)}::/${32 + pick(17)}`
  return `${1 + pick(222)}.${pick(256)}.${pick(256)}.0/${V4_LENGTHS[pick(V4_LENGTHS.length)]}`
}
