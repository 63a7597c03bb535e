/** Whether a compare-and-swap took effect, and the key's version after it. */
export interface PlatformPutResult {
  stored: boolean
  version: number
}
