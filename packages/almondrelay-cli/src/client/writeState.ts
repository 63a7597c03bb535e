import { z } from 'zod'

/** State of a write, as a host reports it for a write id. */
const WriteState = z.discriminatedUnion('outcome', [
  z.looseObject({ outcome: z.literal('accepted'), revision: z.number() }),
  /** Not stored so far; the message with the write may still be in transit. */
  z.looseObject({ outcome: z.literal('absent') }),
  z.looseObject({ outcome: z.literal('unknown') })
])

type WriteState = z.output<typeof WriteState>

export { WriteState }
