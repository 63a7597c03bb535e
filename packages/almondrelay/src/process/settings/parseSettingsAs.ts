import type { z } from 'zod'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import { checkDocument } from './checkDocument.js'
import { formatFileProblem } from './formatFileProblem.js'
import { JsoncDocument } from './jsoncDocument.js'

const REMEDY = 'correct these settings and start again; docs/examples/almondrelayd.jsonc shows every one'

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @throws AlmondrelayError of kind `settings-invalid` that lists every problem.
 */
export function parseSettingsAs<Schema extends z.ZodType> (file: string, text: string, schema: Schema): z.output<Schema> {
  const document = new JsoncDocument(file, text)
  const problems = document.problems.length > 0 ? document.problems : checkDocument(document, schema)
  if (problems.length === 0) return schema.parse(document.value)
  const lines = problems.map((problem) => `\n  ${formatFileProblem(problem)}`)
  throw new AlmondrelayError({ kind: ErrorKind.settingsInvalid, message: `${file} can't be used as settings${lines.join('')}\n`, remedy: REMEDY })
}
