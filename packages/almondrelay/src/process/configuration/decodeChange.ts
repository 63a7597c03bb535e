import { z } from 'zod'
import type { Change } from '../../version/resources/change.js'
import { ResourceKind } from '../../version/resources/resourceKind.js'
import { ResourceName } from '../../version/resources/resourceName.js'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import { resourceSchema } from './resourceSchema.js'

const common = {
  revision: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
  writeId: z.string().min(1).max(200),
  author: z.string().max(1_000),
  writtenAt: z.number()
}

const ChangeSchema = z.discriminatedUnion('action', [
  z.object({ ...common, action: z.literal('put'), resource: resourceSchema }),
  z.object({ ...common, action: z.literal('delete'), kind: z.enum(ResourceKind), name: ResourceName })
])

/**
 * Decodes and fully validates a change from the platform or a peer, so that invalid data, or a change stored under
 * another revision, is refused before it can be applied.
 */
export function decodeChange (body: string, revision: number): Change {
  const parsed = ChangeSchema.safeParse(parseJson(body))
  if (!parsed.success) throw makeInvalid(revision, parsed.error)
  if (parsed.data.revision !== revision) throw makeInvalid(revision, new Error(`it says that it is change ${parsed.data.revision}`))
  return parsed.data as Change
}

function parseJson (body: string): unknown {
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}

function makeInvalid (revision: number, cause: Error): AlmondrelayError {
  return new AlmondrelayError({
    kind: ErrorKind.resourceInvalid,
    message: `change ${revision} can't be read`,
    remedy: 'run one version of almondrelay on every host, and let nothing else write under changes/',
    cause
  })
}
