import { match } from 'ts-pattern'
import type { WriteOutcome } from '../client/writeOutcome.js'

/** Describes the outcome of a write and what to do next. */
export function describeWrite (resource: string, result: WriteOutcome): string {
  return match(result)
    .with({ outcome: 'accepted' }, ({ revision }) => `${resource}: accepted as revision ${revision}`)
    .with({ outcome: 'unchanged' }, ({ revision }) => `${resource}: unchanged since revision ${revision}`)
    .with({ outcome: 'rejected' }, ({ problems }) => [`${resource}: rejected, nothing was stored`, ...problems.map((each) => `  ${each.path}: found ${each.found}; ${each.remedy}`)].join('\n'))
    .with({ outcome: 'missing' }, () => `${resource}: does not exist any more`)
    .with({ outcome: 'conflict' }, ({ revision }) => `${resource}: not stored, revision ${revision} came first; look at it with almondrelay get and write again if you still want to`)
    .with({ outcome: 'unknown' }, ({ writeId }) => `${resource}: not known whether it was stored; ask later with almondrelay outcome ${writeId}, and don't write again before`)
    .exhaustive()
}
