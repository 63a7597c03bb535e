/** Puts a value under a key as the newest of a map, and drops the oldest where that makes too many. */
export function putBounded<Value> (map: Map<string, Value>, key: string, value: Value, most: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= most) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
