/** The middle value; the mean of the middle two where their count is even. */
export function computeMedian (values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other)
  const middle = sorted.length / 2
  const low = sorted[Math.ceil(middle) - 1] ?? NaN
  const high = sorted[Math.floor(middle)] ?? NaN
  return (low + high) / 2
}
