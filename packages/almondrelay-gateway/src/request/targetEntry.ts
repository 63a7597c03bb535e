/** What a target says of itself in the directory of targets. */
export interface TargetEntry {
  /** Names one start of the target; a restarted target has another one. */
  id: string
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
