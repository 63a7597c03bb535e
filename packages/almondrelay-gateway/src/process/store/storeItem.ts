/** A key of the platform's store with its value. */
export interface StoreItem {
  key: string
  value: Buffer
  /** Revision of the store at which the key was last written. */
  revision: number
  /** Revision at which the key came into being; a key that vanished and came back has a new one. */
  createdRevision: number
}
