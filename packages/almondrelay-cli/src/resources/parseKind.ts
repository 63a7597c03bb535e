import { AlmondrelayError, ErrorKind, findNearestName, ResourceKind } from 'almondrelay'

/**
 * The kind that an operator names, in capitals or not.
 *
 * @throws AlmondrelayError of kind `request-invalid` for another word.
 */
export function parseKind (text: string): ResourceKind {
  const kinds = Object.values(ResourceKind)
  const found = kinds.find((kind) => kind.toLowerCase() === text.toLowerCase())
  if (found !== undefined) return found
  const nearest = findNearestName(text, kinds)
  throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `'${text}' is no kind of resource`, remedy: nearest === undefined ? `write one of ${kinds.join(', ')}` : `write ${nearest}` })
}
