/** Key of the platform's store with its value. */
export interface StoreItem {
  key: string
  value: Buffer
  /** Revision of the store at which the key was last written. */
  revision: number
  /** Revision at which the key was created; a key that was deleted and created again has a new one. */
  createdRevision: number
}
