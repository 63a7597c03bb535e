import { z } from 'zod'

/**
 * A call to a decision module with everything that went in: the input of a log line that can be
 * run again.
 */
const RecordedCall = z.strictObject({
  /** Which instance of the module was called: host, incarnation, service and so on; empty for a function without state. */
  instance: z.string(),
  /** Name of the method or function; `create` for the making of the instance. */
  call: z.string(),
  /** Its arguments in their order, the present time among them. */
  given: z.array(z.unknown()),
  /** What the source of chance gave during the call. */
  draws: z.array(z.number())
})

type RecordedCall = z.infer<typeof RecordedCall>

export { RecordedCall }
