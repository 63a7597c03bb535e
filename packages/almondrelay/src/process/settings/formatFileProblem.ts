import type { FileProblem } from './fileProblem.js'

/** Formats a problem as one line of text: file, line, path, the value found and the remedy. */
export function formatFileProblem (problem: FileProblem): string {
  const path = problem.path === '' ? '(whole file)' : problem.path
  return `${problem.file}:${problem.line} ${path}: found ${problem.found}; ${problem.remedy}`
}
