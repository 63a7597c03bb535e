/** Counts items by a text made of each, in order of that text. */
export function countBy<Item> (items: readonly Item[], describe: (item: Item) => string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const item of items) {
    const name = describe(item)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return new Map([...counts].sort(([one], [other]) => one < other ? -1 : 1))
}
