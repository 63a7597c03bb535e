import type { FileProblem } from './fileProblem.js'

/** One problem as one line of text: file, line, path, what was found, what to write. */
export function formatFileProblem (problem: FileProblem): string {
  const path = problem.path === '' ? '(whole file)' : problem.path
  return `${problem.file}:${problem.line} ${path}: found ${problem.found}; ${problem.remedy}`
}
