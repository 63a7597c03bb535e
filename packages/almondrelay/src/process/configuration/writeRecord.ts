/** The revision that a write created. */
export interface WriteRecord {
  writeId: string
  revision: number
}
