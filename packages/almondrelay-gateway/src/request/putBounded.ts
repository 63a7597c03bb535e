/** Sets a key as the newest entry of a map, and removes the oldest entry where the map then has too many. */
export function putBounded<Key, Value> (map: Map<Key, Value>, key: Key, value: Value, maxSize: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= maxSize) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
