import { match, P } from 'ts-pattern'
import type { z } from 'zod'
import { findNearestName } from './findNearestName.js'
import type { JsoncDocument } from './jsoncDocument.js'
import { listKnownNames } from './listKnownNames.js'
import type { FileProblem } from './fileProblem.js'

const MAX_FOUND_LENGTH = 60

/**
 * Validates the value at path `base` of a document against a schema. Each problem names the
 * value's full path and its line in the file.
 */
export function checkDocument (document: JsoncDocument, schema: z.ZodType, base: ReadonlyArray<string | number> = []): FileProblem[] {
  const value = findValue(document.value, base)
  const result = schema.safeParse(value)
  if (result.success) return []
  return result.error.issues.flatMap((issue) => describeIssue(document, schema, base, issue))
}

type Issue = z.core.$ZodIssue
type Path = ReadonlyArray<string | number>

const describeIssue = (document: JsoncDocument, schema: z.ZodType, base: Path, issue: Issue): FileProblem[] => {
  const path = [...base, ...issue.path.map((part) => typeof part === 'number' ? part : String(part))]
  const makeProblem = (at: Path, found: string, remedy: string): FileProblem => ({ file: document.file, line: document.findLine(at), path: at.join('.'), found, remedy })
  if (issue.code === 'unrecognized_keys') {
    const known = listKnownNames(schema, issue.path)
    return issue.keys.map((key) => makeProblem([...path, key], `the unknown name '${key}'`, describeKnown(key, known)))
  }
  const value = findValue(document.value, path)
  return [makeProblem(path, describeFound(value), describeRemedy(issue, value))]
}

const describeKnown = (key: string, known: readonly string[]): string => {
  const nearest = findNearestName(key, known)
  return nearest === undefined ? `remove it; known here: ${known.join(', ')}` : `write '${nearest}', or remove it`
}

const describeFound = (value: unknown): string => {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value)
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
}

const describeRemedy = (issue: Issue, value: unknown): string => {
  const verb = value === undefined ? 'add' : 'write'
  return match(issue)
    .with({ code: 'invalid_type', expected: P.string }, ({ expected }) => `${verb} ${describeType(expected)}`)
    .with({ code: 'too_small', origin: 'array' }, ({ minimum }) => `give at least ${minimum}`)
    .with({ code: 'too_big', origin: 'array' }, ({ maximum }) => `give at most ${maximum}`)
    .with({ code: 'too_small' }, ({ minimum }) => `${verb} at least ${minimum}`)
    .with({ code: 'too_big' }, ({ maximum }) => `${verb} at most ${maximum}`)
    .with({ code: 'invalid_value' }, ({ values }) => `${verb} ${values.length === 1 ? '' : 'one of '}${values.map((each) => JSON.stringify(each)).join(', ')}`)
    .with({ code: 'invalid_format', format: 'starts_with' }, () => issue.message)
    .with({ code: 'invalid_format', format: 'url' }, () => `${verb} a URL with http or https, such as "http://10.0.0.2:7000"`)
    .otherwise(() => issue.message)
}

const describeType = (expected: string): string => match(expected)
  .with('int', () => 'a whole number')
  .with('object', 'record', () => 'an object in braces')
  .with('array', () => 'a list in brackets')
  .otherwise((type) => `a ${type}`)

const findValue = (value: unknown, path: Path): unknown => {
  let current = value
  for (const part of path) {
    if (typeof current !== 'object' || current === null) return undefined
    current = (current as Record<string | number, unknown>)[part]
  }
  return current
}
