import type { AnnouncedLoad } from './announcedLoad.js'

/** Decoded head of a target's answer. */
export interface TargetAnswerHead {
  status: number
  /** Header names and values, alternating, as received. */
  rawHeaders: readonly string[]
  /** Id of the request that the answer belongs to; undefined where the answer names none, or several. */
  requestId: string | undefined
  /** The target states that it didn't run the request. */
  isNotRun: boolean
  /** The target refuses a request whose head it could not read, so the answer names no request. */
  refusesUnread: boolean
  /** A target other than the intended one answered: the intended one isn't at this address. */
  isMisdirected: boolean
  /** The answer has the target's signature, and no encoding that the caller didn't ask for. */
  isGenuine: boolean
  /** Milliseconds for which the target keeps an idle connection open; undefined where it doesn't say. */
  keepAliveMs: number | undefined
  /** The target closes the connection after this answer. */
  closesConnection: boolean
  /** Load that the target states; undefined where it states none, or one that can't be read. */
  load: AnnouncedLoad | undefined
  /** Milliseconds for which the target says that it stays cold; undefined where it doesn't say. */
  coldForMs: number | undefined
  /**
   * Requests per second that the target takes from all hosts together; Infinity where it states no limit, undefined where it states
   * one that can't be read.
   */
  requestLimit: number | undefined
  /** The target is leaving and takes no new requests. */
  isLeaving: boolean
  /** Milliseconds for which the target, turning a request away, wants no others of this host; 0 where it asks for no pause. */
  pauseMs: number
}
