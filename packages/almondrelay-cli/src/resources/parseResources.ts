import { z } from 'zod'
import { checkDocument, JsoncDocument, resourceSpecs, type FileProblem } from 'almondrelay'
import { DeclaredResource } from './declaredResource.js'

interface ParsedResources {
  resources: DeclaredResource[]
  problems: FileProblem[]
}

/** Parses the resources in a text of JSON with comments and lists its problems; needs no host. */
export function parseResources (file: string, text: string): ParsedResources {
  const document = new JsoncDocument(file, text)
  if (document.problems.length > 0) return { resources: [], problems: document.problems }
  const listProblems = checkDocument(document, z.array(z.unknown()))
  if (listProblems.length > 0) return { resources: [], problems: listProblems }
  const entries = document.value as unknown[]
  const problems = entries.flatMap((_, index) => checkEntry(document, index))
  if (problems.length > 0) return { resources: [], problems }
  const resources = entries.map((entry) => DeclaredResource.parse(entry))
  return { resources, problems: findDuplicates(document, resources) }
}

const checkEntry = (document: JsoncDocument, index: number): FileProblem[] => {
  const problems = checkDocument(document, DeclaredResource, [index])
  if (problems.length > 0) return problems
  const entry = DeclaredResource.parse((document.value as unknown[])[index])
  return checkDocument(document, resourceSpecs[entry.kind], [index, 'spec'])
}

const findDuplicates = (document: JsoncDocument, resources: readonly DeclaredResource[]): FileProblem[] => {
  const seen = new Set<string>()
  return resources.flatMap((resource, index) => {
    const key = `${resource.kind}/${resource.name}`
    if (!seen.has(key)) {
      seen.add(key)
      return []
    }
    return [{ file: document.file, line: document.findLine([index]), path: `${index}.name`, found: `${key} a second time`, remedy: 'keep one of the two' }]
  })
}
