import { AlmondrelayError, ErrorKind, findNearestName, ResourceKind } from 'almondrelay'

/**
 * Parses a kind of resource, ignoring case.
 *
 * @throws AlmondrelayError of kind `request-invalid` if there is no such kind.
 */
export function parseKind (text: string): ResourceKind {
  const kinds = Object.values(ResourceKind)
  const found = kinds.find((kind) => kind.toLowerCase() === text.toLowerCase())
  if (found !== undefined) return found
  const nearest = findNearestName(text, kinds)
  throw new AlmondrelayError({ kind: ErrorKind.requestInvalid, message: `'${text}' is not a kind of resource`, remedy: nearest === undefined ? `write one of ${kinds.join(', ')}` : `write ${nearest}` })
}
