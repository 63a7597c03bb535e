/** Place in the history of the store. Revisions are comparable within one era only: a store that has returned from a copy gives them out again. */
export interface StorePosition {
  era: number
  revision: number
}
