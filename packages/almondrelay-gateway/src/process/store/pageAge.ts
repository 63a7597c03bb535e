/** How old a page of a listing may be. */
const PageAge = {
  /** As new as any answered write. */
  current: 'current',
  /** Of a moment some seconds ago, whose revision the page states; a tenth of the price. */
  stale: 'stale'
} as const
type PageAge = typeof PageAge[keyof typeof PageAge]

export { PageAge }
