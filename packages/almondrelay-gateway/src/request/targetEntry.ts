/** What a target says of itself in the directory of targets. */
export interface TargetEntry {
  /** Names the target; one that was started again may have the id that it had before. */
  id: string
  /** Unix milliseconds of its start, which tell its lives under one id apart; undefined where it doesn't say. */
  incarnation: number | undefined
  /** Heartbeats of this life so far: of two entries of one life the one with more is the newer. */
  sequence: number
  service: string
  ip: string
  port: number
  availabilityZone: string
  region: string
  /** Requests that it runs at once. */
  slots: number
  /** It has announced that it will end and takes no new requests. */
  draining: boolean
  /** Milliseconds from the time of the entry for which it stays cold. */
  coldForMs: number
}
