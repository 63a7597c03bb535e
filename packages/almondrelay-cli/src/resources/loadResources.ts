import { readFile } from 'node:fs/promises'
import { AlmondrelayError, ErrorKind, formatFileProblem } from 'almondrelay'
import type { DeclaredResource } from './declaredResource.js'
import { parseResources } from './parseResources.js'

/**
 * Loads the resources of several files.
 *
 * @throws AlmondrelayError of kind `resource-invalid` that lists every problem of every file.
 */
export async function loadResources (files: readonly string[]): Promise<DeclaredResource[]> {
  const parsed = await Promise.all(files.map(async (file) => parseResources(file, await loadText(file))))
  const problems = parsed.flatMap((each) => each.problems)
  if (problems.length === 0) return parsed.flatMap((each) => each.resources)
  const lines = problems.map((problem) => `\n  ${formatFileProblem(problem)}`)
  throw new AlmondrelayError({ kind: ErrorKind.resourceInvalid, message: `nothing was written${lines.join('')}\n`, remedy: 'correct the file and check it with almondrelay check -f <file>' })
}

const loadText = async (file: string): Promise<string> => readFile(file, 'utf8').catch((error: Error) => {
  throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `${file} can't be read (${error.message})`, remedy: 'name a readable file with -f', cause: error })
})
