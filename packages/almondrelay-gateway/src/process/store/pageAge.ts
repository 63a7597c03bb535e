/** How old the data of a page of a listing may be. */
const PageAge = {
  /** Includes every write that was answered before. */
  current: 'current',
  /** May be a few seconds old, as of the revision that the page states; costs a tenth of a current page. */
  stale: 'stale'
} as const
type PageAge = typeof PageAge[keyof typeof PageAge]

export { PageAge }
