import { z } from 'zod'

/** A line of the log that records a decision. */
const TraceLine = z.looseObject({
  time: z.string().default(''),
  host: z.string().default(''),
  decision: z.string(),
  requestId: z.string().default(''),
  input: z.unknown(),
  output: z.unknown()
})

type TraceLine = z.output<typeof TraceLine>

export { TraceLine }
