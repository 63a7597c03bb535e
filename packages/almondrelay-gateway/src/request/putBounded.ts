/** Sets a key as the newest entry of a map, and removes the oldest entry where the map then has too many. */
export function putBounded<Value> (map: Map<string, Value>, key: string, value: Value, maxSize: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= maxSize) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
