import type { Context } from 'hono'
import type { ResourceProblem } from '../../process/configuration/resourceProblem.js'
import { listSchemaProblems } from '../../process/configuration/listSchemaProblems.js'
import type { Write } from '../../process/configuration/write.js'
import type { Resource } from '../../version/resources/resource.js'
import { ResourceName } from '../../version/resources/resourceName.js'
import type { ResourceKind } from '../../version/resources/resourceKind.js'
import { resourceSpecs } from '../../version/resources/resourceSpecs.js'
import { parseCondition } from './parseCondition.js'

const UUID = /^[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}$/i
const MAX_AUTHOR_LENGTH = 200

type ParsedWrite = { write: Write } | { problems: ResourceProblem[] }

/** Parses the write of a PUT or DELETE request; returns all problems found in the request if it is invalid. */
export async function parseWrite (context: Context, kind: ResourceKind, makeWriteId: () => string): Promise<ParsedWrite> {
  const name = context.req.param('name') ?? ''
  const writeId = context.req.header('almondrelay-write-id') ?? makeWriteId()
  const author = (context.req.header('almondrelay-author') ?? 'unknown').slice(0, MAX_AUTHOR_LENGTH)
  const condition = parseCondition(context.req.header('if-match'), context.req.header('if-none-match'))
  const problems = [...checkName(name), ...checkWriteId(writeId), ...('problem' in condition ? [condition.problem] : [])]
  if (problems.length > 0 || 'problem' in condition) return { problems }
  const commonFields = { writeId, author, ...condition }
  if (context.req.method === 'DELETE') return { write: { ...commonFields, action: 'delete', kind, name } }
  const spec = parseSpec(kind, await context.req.text())
  if ('problems' in spec) return spec
  return { write: { ...commonFields, action: 'put', resource: { kind, name, revision: 0, spec: spec.value } as Resource } }
}

function parseSpec (kind: ResourceKind, text: string): { value: unknown } | { problems: ResourceProblem[] } {
  let spec: unknown
  try {
    spec = JSON.parse(text)
  } catch {
    return { problems: [{ path: 'spec', found: text === '' ? 'nothing' : text.slice(0, 80), remedy: 'send the spec as JSON in the body' }] }
  }
  const parsed = resourceSpecs[kind].safeParse(spec)
  return parsed.success ? { value: parsed.data } : { problems: listSchemaProblems(parsed.error, spec) }
}

function checkName (name: string): ResourceProblem[] {
  const parsed = ResourceName.safeParse(name)
  return parsed.success ? [] : [{ path: 'name', found: name.slice(0, 80), remedy: parsed.error.issues[0]?.message ?? '' }]
}

function checkWriteId (writeId: string): ResourceProblem[] {
  return UUID.test(writeId) ? [] : [{ path: 'Almondrelay-Write-Id', found: writeId.slice(0, 80), remedy: 'send a UUID, the same one on every repeat of one write' }]
}
