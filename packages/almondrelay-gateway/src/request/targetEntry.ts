/** Entry of a target in the directory of targets, written by the target itself. */
export interface TargetEntry {
  /** Identifies the target; a restarted target may have the same id as before. */
  id: string
  /** Start of the target in Unix milliseconds, which distinguishes its incarnations under one id; undefined where it doesn't say. */
  incarnation: number | undefined
  /** Heartbeats of this incarnation so far: of two entries of one incarnation, the one with more heartbeats is newer. */
  sequence: number
  service: string
  ip: string
  port: number
  availabilityZone: string
  region: string
  /** Requests that the target runs at once. */
  slots: number
  /** The target has announced that it will exit, and takes no new requests. */
  draining: boolean
  /** Milliseconds from the time of the entry for which the target stays cold. */
  coldForMs: number
}
