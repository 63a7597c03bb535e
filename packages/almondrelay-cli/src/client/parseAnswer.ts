import { z } from 'zod'
import { AlmondrelayError, ErrorKind } from 'almondrelay'
import type { HttpAnswer } from './httpAnswer.js'

const Failure = z.looseObject({ message: z.string() })

/**
 * The body of an answer with status 200.
 *
 * @throws AlmondrelayError of kind `resource-missing` for 404, `not-ready` for any other status
 * and for a body of another shape.
 */
export function parseAnswer<Schema extends z.ZodType> (answer: HttpAnswer, schema: Schema, what: string): z.output<Schema> {
  if (answer.status === 404) throw new AlmondrelayError({ kind: ErrorKind.resourceMissing, message: `${what} does not exist`, remedy: 'see what there is with almondrelay get <kind>' })
  if (answer.status !== 200) throw new AlmondrelayError({ kind: ErrorKind.notReady, message: `${answer.address} answered ${answer.status} to ${what}${describeFailure(answer.body)}`, remedy: 'try again, or name another host with --operator' })
  const parsed = schema.safeParse(answer.body)
  if (parsed.success) return parsed.data
  throw new AlmondrelayError({ kind: ErrorKind.notReady, message: `the answer of ${answer.address} to ${what} has an unknown shape (${z.prettifyError(parsed.error)})`, remedy: 'use the almondrelay of the same version as the hosts' })
}

const describeFailure = (body: unknown): string => {
  const parsed = Failure.safeParse(body)
  return parsed.success ? ` (${parsed.data.message})` : ''
}
