import type { Configuration } from '../../version/configuration.js'
import type { Change } from '../../version/resources/change.js'
import type { Resource } from '../../version/resources/resource.js'
import type { ResourceKind } from '../../version/resources/resourceKind.js'
import { checkResource } from './checkResource.js'
import { listBrokenReferences } from './listBrokenReferences.js'
import type { ResourceProblem } from './resourceProblem.js'
import type { Write } from './write.js'
import type { WriteOutcome } from './writeOutcome.js'

type Decision = { change: Change } | { refusal: WriteOutcome }

/**
 * Decides whether a write may become the change after `configuration`. The result of its checks stays valid once that
 * change is created, because a change is only ever applied to the revision it was checked against.
 *
 * @param given resources that are declared elsewhere: they may be referenced, and their kinds can't be written
 * @param conflictingRevision the revision of a change to the same resource that was adopted since the write began
 */
export function decideWrite (configuration: Configuration, write: Write, conflictingRevision: number | undefined, writtenAt: number, given: readonly Resource[] = []): Decision {
  const { writeId } = write
  const [kind, name] = write.action === 'put' ? [write.resource.kind, write.resource.name] : [write.kind, write.name]
  if (given.some((resource) => resource.kind === kind)) return { refusal: { outcome: 'rejected', writeId, problems: [makeGivenProblem(kind)] } }
  const held = configuration.get(kind, name)
  if (conflictingRevision !== undefined) return { refusal: { outcome: 'conflict', writeId, revision: conflictingRevision } }
  if (isUnexpected(held, write.expectedRevision)) return { refusal: { outcome: 'conflict', writeId, revision: held?.revision ?? configuration.revision } }
  if (write.action === 'delete' && held === undefined) return { refusal: { outcome: 'missing', writeId } }
  const change = makeChange(write, configuration.revision + 1, writtenAt)
  const after = configuration.apply(change) as Configuration
  const problems = write.action === 'put' ? checkResource(write.resource, after.withExternal(given)) : []
  if (problems.length > 0) return { refusal: { outcome: 'rejected', writeId, problems } }
  const broken = listBrokenReferences(configuration, after)
  if (broken.length > 0) return { refusal: { outcome: 'in-use', writeId, problems: broken } }
  return { change }
}

function makeGivenProblem (kind: ResourceKind): ResourceProblem {
  return { path: 'kind', found: kind, remedy: `change it on the platform, which declares every ${kind} of this deployment` }
}

function isUnexpected (held: Resource | undefined, expectedRevision: number | undefined): boolean {
  return expectedRevision !== undefined && (held?.revision ?? 0) !== expectedRevision
}

function makeChange (write: Write, revision: number, writtenAt: number): Change {
  const common = { revision, writeId: write.writeId, author: write.author, writtenAt }
  if (write.action === 'delete') return { ...common, action: 'delete', kind: write.kind, name: write.name }
  return { ...common, action: 'put', resource: { ...write.resource, revision } }
}
