import type { RecordedCall } from 'almondrelay'

/** Repeats recorded calls to the modules of one kind of decision. */
export abstract class Replayer {
  /**
   * Returns the result of repeating the call; UNKNOWN_STATE if the trace does not contain the creation of the instance, or
   * the call is unknown.
   */
  abstract replay (call: RecordedCall): unknown
}
