import type { Random } from 'almondrelay'

/** Picks an item at random by its weight. */
export function pickWeighted<Item> (items: readonly Item[], weigh: (item: Item) => number, random: Random): Item {
  const total = items.reduce((sum, item) => sum + weigh(item), 0)
  let left = random() * total
  for (const item of items) {
    left -= weigh(item)
    if (left < 0) return item
  }
  const last = items.at(-1)
  if (last === undefined) throw new Error('nothing to pick from: give at least one item')
  return last
}
