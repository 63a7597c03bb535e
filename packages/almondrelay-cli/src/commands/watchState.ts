/** Progress of a watched resource towards its goal. */
export interface WatchState {
  reached: boolean
  text: string
}
