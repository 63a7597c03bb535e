interface PrioritySplit {
  /** Amount of what is more urgent than the given priority. */
  earlier: number
  /** Amount of what has the same priority. */
  same: number
}

/** Sums amounts of routes by whether they come before one of the given priority or beside it; 0 is served first. */
export function splitByPriority <Entry extends { priority: number }> (entries: Iterable<Entry>, priority: number, getAmount: (entry: Entry) => number): PrioritySplit {
  const split = { earlier: 0, same: 0 }
  for (const entry of entries) {
    if (entry.priority < priority) split.earlier += getAmount(entry)
    if (entry.priority === priority) split.same += getAmount(entry)
  }
  return split
}
