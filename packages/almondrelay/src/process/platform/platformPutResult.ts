/** Result of a compare-and-swap: whether it took effect, and the key's version afterwards. */
export interface PlatformPutResult {
  stored: boolean
  version: number
}
