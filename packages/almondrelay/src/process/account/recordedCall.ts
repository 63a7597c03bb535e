import { z } from 'zod'

/**
 * A call to a decision module with all its inputs: the `input` of a decision log line that can be
 * replayed.
 */
const RecordedCall = z.strictObject({
  /** Identifies the module instance that was called: host, incarnation, service and so on; empty for a stateless function. */
  instance: z.string(),
  /** Name of the method or function; `create` for the construction of the instance. */
  call: z.string(),
  /** Arguments in order, including the current time. */
  given: z.array(z.unknown()),
  /** Numbers that the random source returned during the call. */
  draws: z.array(z.number())
})

type RecordedCall = z.infer<typeof RecordedCall>

export { RecordedCall }
