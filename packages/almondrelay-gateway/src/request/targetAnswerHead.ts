/** Head of a target's answer, decoded. */
export interface TargetAnswerHead {
  status: number
  /** Names and values in turn, as received. */
  rawHeaders: readonly string[]
  /** Request that the answer belongs to; undefined where it says none. */
  requestId: string | undefined
  /** The target states that it didn't run the request. */
  isNotRun: boolean
  /** Another target answered: the one that was meant isn't at this address. */
  isMisdirected: boolean
  /** It bears the target's signature and no encoding that the caller didn't ask for. */
  isGenuine: boolean
  /** Milliseconds for which the target keeps the connection open unused; undefined where it doesn't say. */
  keepAliveMs: number | undefined
  /** The target closes the connection after this answer. */
  isLast: boolean
  /** Requests that run and wait at the target; undefined where it doesn't tell. */
  load: { running: number, waiting: number } | undefined
  /** Milliseconds for which the target says that it stays cold. */
  coldForMs: number | undefined
}
