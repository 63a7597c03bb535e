import type { MessageMemory } from './messageMemory.js'
import type { TargetCodec } from './targetCodec.js'
import type { StrayAnswer } from './strayAnswer.js'
import type { UnsoundReason } from './unsoundReason.js'

/** Dependencies of the connections to one target. */
export interface ConnectionParts {
  codec: TargetCodec
  /** Monotonic milliseconds. */
  getNow: () => number
  memory: MessageMemory
  /** Called with each answer of a target that is not sound, or that there is no room for. */
  observeUnsound: (reason: UnsoundReason) => void
  /** Called with each answer of a target that is not known to be the awaited one. */
  observeStray: (stray: StrayAnswer) => void
}
