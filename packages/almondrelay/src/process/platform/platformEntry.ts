/** A key with its value. */
export interface PlatformEntry {
  key: string
  value: string
  /** Increases with each write to this key; 0 stands for an absent key. */
  version: number
}
