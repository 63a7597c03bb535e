import { readFileSync } from 'node:fs'

const TABLE_ROW = /^\| ([a-z]+) \|/

/** Reads the allowed verbs from docs/verbs.md, so that the page and the rule can't disagree. */
export function loadVerbs () {
  const page = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8')
  const verbs = page.split('\n').map((line) => TABLE_ROW.exec(line)?.[1])
  return new Set(verbs.filter((verb) => verb !== undefined && verb !== 'verb'))
}
