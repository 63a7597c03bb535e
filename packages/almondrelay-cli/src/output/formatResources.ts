import type { ShownResource } from '../client/shownResource.js'
import { formatTable } from './formatTable.js'

const MAX_CELL = 60

/** Formats resources as a table; with `withDetails`, the complete spec and status of each follow. */
export function formatResources (resources: readonly ShownResource[], whole: boolean): string {
  const table = formatTable(['kind', 'name', 'revision', 'status'], resources.map((each) => [each.kind, each.name, each.revision, limitLength(formatFields(each.status))]))
  if (!whole) return table
  const details = resources.map((each) => `spec: ${JSON.stringify(each.spec, undefined, 2)}\nstatus: ${JSON.stringify(each.status ?? {}, undefined, 2)}`)
  return [table, ...details].join('\n\n')
}

const formatFields = (status: ShownResource['status']): string => Object.entries(status ?? {})
  .filter(([, value]) => typeof value !== 'object')
  .map(([name, value]) => `${name}=${String(value)}`)
  .join(' ')

const limitLength = (text: string): string => text.length > MAX_CELL ? `${text.slice(0, MAX_CELL)}…` : text
