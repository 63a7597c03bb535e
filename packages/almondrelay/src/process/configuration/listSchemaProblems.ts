import type { z } from 'zod'
import type { ResourceProblem } from './resourceProblem.js'

const MAX_PROBLEMS = 20
const MAX_FOUND = 80

/** Lists the problems that a schema found in `spec`, each with its path, the value found there and the remedy. */
export function listSchemaProblems (error: z.ZodError, spec: unknown): ResourceProblem[] {
  return error.issues
    .flatMap((issue) => issue.code === 'unrecognized_keys' ? issue.keys.map((key) => ({ path: [...issue.path, key], remedy: 'remove it: there is no such field' })) : [{ path: issue.path, remedy: issue.message }])
    .slice(0, MAX_PROBLEMS)
    .map(({ path, remedy }) => ({ path: ['spec', ...path.map(String)].join('.'), found: describeAt(spec, path), remedy }))
}

function describeAt (spec: unknown, path: readonly PropertyKey[]): string {
  const found = path.reduce<unknown>((value, key) => typeof value === 'object' && value !== null ? Reflect.get(value, key) : undefined, spec)
  return found === undefined ? 'nothing' : JSON.stringify(found).slice(0, MAX_FOUND)
}
