import { z } from 'zod'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import type { HttpAnswer } from './httpAnswer.js'

const Failure = z.looseObject({ message: z.string() })

/**
 * Parses the body of an answer with status 200.
 *
 * @throws AlmondrelayError of kind `resource-missing` for 404, `not-ready` for any other status
 * and for a body that does not match the schema.
 */
export function parseAnswer<Schema extends z.ZodType> (answer: HttpAnswer, schema: Schema, subject: string): z.output<Schema> {
  if (answer.status === 404) throw new AlmondrelayError({ kind: ErrorKind.resourceMissing, message: `${subject} does not exist`, remedy: 'list the existing resources with almondrelay get <kind>' })
  if (answer.status !== 200) throw new AlmondrelayError({ kind: ErrorKind.notReady, message: `${answer.address} answered ${answer.status} for ${subject}${describeFailure(answer.body)}`, remedy: 'try again, or name another host with --operator' })
  const parsed = schema.safeParse(answer.body)
  if (parsed.success) return parsed.data
  throw new AlmondrelayError({ kind: ErrorKind.notReady, message: `the answer of ${answer.address} for ${subject} has an unexpected format (${z.prettifyError(parsed.error)})`, remedy: 'use the almondrelay of the same version as the hosts' })
}

const describeFailure = (body: unknown): string => {
  const parsed = Failure.safeParse(body)
  return parsed.success ? ` (${parsed.data.message})` : ''
}
