/** A key with its value. */
export interface PlatformEntry {
  key: string
  value: string
  /** Counts the writes to this key, from 1. */
  version: number
}
