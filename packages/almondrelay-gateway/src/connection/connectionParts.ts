import type { AnswerMemory } from './answerMemory.js'
import type { TargetCodec } from './targetCodec.js'

/** Dependencies shared by all connections to targets. */
export interface ConnectionParts {
  codec: TargetCodec
  /** Monotonic milliseconds. */
  getNow: () => number
  memory: AnswerMemory
}
