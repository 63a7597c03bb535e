import type { ShownResource } from '../client/shownResource.js'
import { formatTable } from './formatTable.js'

const MAX_CELL_LENGTH = 60

/** Formats resources as a table; with `withDetails`, the complete spec and status of each follow. */
export function formatResources (resources: readonly ShownResource[], withDetails: boolean): string {
  const table = formatTable(['kind', 'name', 'revision', 'status'], resources.map((each) => [each.kind, each.name, each.revision, limitCellLength(formatFields(each.status))]))
  if (!withDetails) return table
  const details = resources.map((each) => `spec: ${JSON.stringify(each.spec, undefined, 2)}\nstatus: ${JSON.stringify(each.status ?? {}, undefined, 2)}`)
  return [table, ...details].join('\n\n')
}

const formatFields = (status: ShownResource['status']): string => Object.entries(status ?? {})
  .filter(([, value]) => typeof value !== 'object')
  .map(([name, value]) => `${name}=${String(value)}`)
  .join(' ')

const limitCellLength = (text: string): string => text.length > MAX_CELL_LENGTH ? `${text.slice(0, MAX_CELL_LENGTH)}…` : text
