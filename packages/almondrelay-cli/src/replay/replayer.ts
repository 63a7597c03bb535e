import type { RecordedCall } from 'almondrelay'

/** Makes recorded calls to the modules of one kind of decision again. */
export abstract class Replayer {
  /**
   * The result of the call, made now; UNKNOWN_STATE where the trace does not hold how the
   * instance came to be.
   */
  abstract replay (call: RecordedCall): unknown
}
