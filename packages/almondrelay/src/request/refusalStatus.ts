import { RefusalReason } from './refusalReason.js'

/** HTTP status with which each reason is told to the caller. */
export const refusalStatus: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.unknownService]: 404,
  [RefusalReason.invalidHeader]: 400,
  [RefusalReason.missingId]: 428,
  [RefusalReason.missingHome]: 428,
  [RefusalReason.idReused]: 422,
  [RefusalReason.bodyTooLarge]: 413,
  [RefusalReason.notReady]: 503,
  [RefusalReason.leaving]: 503,
  [RefusalReason.hostOverloaded]: 503,
  [RefusalReason.queueFull]: 503,
  [RefusalReason.overFairShare]: 429,
  [RefusalReason.deadlineUnreachable]: 503,
  [RefusalReason.deadlinePassed]: 504,
  [RefusalReason.cancelled]: 499,
  [RefusalReason.noTarget]: 503,
  [RefusalReason.noCredit]: 503,
  [RefusalReason.regionFull]: 503,
  [RefusalReason.linkFull]: 503,
  [RefusalReason.shiftCapFull]: 503,
  [RefusalReason.journalFull]: 503,
  [RefusalReason.idExpired]: 409,
  [RefusalReason.homeGone]: 502,
  [RefusalReason.homeUnreachable]: 504,
  [RefusalReason.fenced]: 409,
  [RefusalReason.targetRefused]: 503,
  [RefusalReason.targetUnreachable]: 502,
  [RefusalReason.answerBroken]: 502,
  [RefusalReason.answerTooLarge]: 502,
  [RefusalReason.answerLost]: 504
}
