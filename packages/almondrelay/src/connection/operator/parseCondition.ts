import type { ResourceProblem } from '../../process/configuration/resourceProblem.js'

const ENTITY_TAG = /^"(\d{1,15})"$/

type Condition = { expectedRevision?: number } | { problem: ResourceProblem }

/** Parses the revision that a write expects from `If-Match` or `If-None-Match`; 0 means that the resource must not exist. */
export function parseCondition (ifMatch: string | undefined, ifNoneMatch: string | undefined): Condition {
  if (ifMatch !== undefined && ifNoneMatch !== undefined) {
    return { problem: { path: 'If-None-Match', found: ifNoneMatch.slice(0, 80), remedy: 'send either If-Match or If-None-Match' } }
  }
  if (ifNoneMatch !== undefined) {
    if (ifNoneMatch === '*') return { expectedRevision: 0 }
    return { problem: { path: 'If-None-Match', found: ifNoneMatch.slice(0, 80), remedy: 'send * to create a resource that must not exist' } }
  }
  if (ifMatch === undefined) return {}
  const revision = Number(ENTITY_TAG.exec(ifMatch)?.[1] ?? 0)
  if (revision > 0) return { expectedRevision: revision }
  return { problem: { path: 'If-Match', found: ifMatch.slice(0, 80), remedy: 'send the ETag of the resource, such as "12" with the quotation marks' } }
}
