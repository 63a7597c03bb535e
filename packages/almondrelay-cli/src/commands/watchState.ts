/** How far a watched resource is. */
export interface WatchState {
  reached: boolean
  text: string
}
