import { z } from 'zod'
import { WriteProblem } from './writeProblem.js'

/** Answer of a host to a write. */
const WriteAnswer = z.discriminatedUnion('outcome', [
  z.looseObject({ outcome: z.literal('accepted'), revision: z.number() }),
  z.looseObject({ outcome: z.literal('conflict'), revision: z.number() }),
  z.looseObject({ outcome: z.literal('rejected'), problems: z.array(WriteProblem) }),
  z.looseObject({ outcome: z.literal('missing') }),
  z.looseObject({ outcome: z.literal('unknown') })
])

type WriteAnswer = z.output<typeof WriteAnswer>

export { WriteAnswer }
