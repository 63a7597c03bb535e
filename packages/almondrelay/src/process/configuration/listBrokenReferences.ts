import type { Configuration } from '../../version/configuration.js'
import { listReferences } from './listReferences.js'
import type { ResourceProblem } from './resourceProblem.js'
import { ReferenceIndex } from './referenceIndex.js'

const MAX_PROBLEMS = 20

/** Lists the fields of other resources that name an object which exists before a change and no longer after it. */
export function listBrokenReferences (before: Configuration, after: Configuration): ResourceProblem[] {
  const indexBefore = new ReferenceIndex(before)
  const indexAfter = new ReferenceIndex(after)
  const problems: ResourceProblem[] = []
  for (const resource of after.listAll()) {
    for (const reference of listReferences(resource)) {
      if (reference.isLoose || indexAfter.has(reference) || !indexBefore.has(reference)) continue
      const where = `${resource.kind}/${resource.name}`
      problems.push({
        path: `${where}: ${reference.path}`,
        found: reference.name,
        remedy: `change or delete ${where} first, which names ${reference.to} '${reference.name}'`
      })
      if (problems.length === MAX_PROBLEMS) return problems
    }
  }
  return problems
}
