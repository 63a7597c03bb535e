/** Which revision a write made. */
export interface WriteRecord {
  writeId: string
  revision: number
}
