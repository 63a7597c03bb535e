import { z } from 'zod'

/** What a host knows of a write by its id. */
const WriteState = z.discriminatedUnion('outcome', [
  z.looseObject({ outcome: z.literal('accepted'), revision: z.number() }),
  /** Not stored as of now; its message may still be on the way. */
  z.looseObject({ outcome: z.literal('absent') }),
  z.looseObject({ outcome: z.literal('unknown') })
])

type WriteState = z.output<typeof WriteState>

export { WriteState }
