import type { Context } from 'hono'
import { match } from 'ts-pattern'
import type { WriteOutcome } from '../../process/configuration/writeOutcome.js'

const RETRY_AFTER_SECONDS = '1'

/** Sends the outcome of a write. A conflict is answered with 412 if the write stated an expected revision, otherwise with 409. */
export function sendWriteOutcome (context: Context, outcome: WriteOutcome, isConditional: boolean): Response {
  return match(outcome)
    .with({ outcome: 'accepted' }, (accepted) => {
      context.header('ETag', `"${accepted.revision}"`)
      return context.json(accepted, 200)
    })
    .with({ outcome: 'conflict' }, (conflict) => context.json(conflict, isConditional ? 412 : 409))
    .with({ outcome: 'rejected' }, (rejected) => context.json(rejected, 400))
    .with({ outcome: 'in-use' }, (inUse) => context.json({ ...inUse, outcome: 'rejected' }, 409))
    .with({ outcome: 'missing' }, (missing) => context.json(missing, 404))
    .with({ outcome: 'unknown' }, (unknown) => {
      context.header('Retry-After', RETRY_AFTER_SECONDS)
      return context.json(unknown, 503)
    })
    .exhaustive()
}
