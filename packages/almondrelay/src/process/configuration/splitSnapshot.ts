import type { Resource } from '../../version/resources/resource.js'

/**
 * Splits resources into JSON arrays of at most `maxBytes` each. They are sorted by kind and
 * name, so that two hosts that write the snapshot of one revision write the same chunks.
 */
export function splitSnapshot (resources: readonly Resource[], maxBytes: number): string[] {
  const sorted = [...resources].sort((a, b) => (makeOrder(a) < makeOrder(b) ? -1 : 1))
  const chunks: string[][] = []
  let bytes = Infinity
  for (const resource of sorted) {
    const text = JSON.stringify(resource)
    const size = Buffer.byteLength(text) + 1
    if (bytes + size > maxBytes) {
      chunks.push([])
      bytes = 1
    }
    chunks.at(-1)?.push(text)
    bytes += size
  }
  return chunks.map((chunk) => `[${chunk.join(',')}]`)
}

const makeOrder = (resource: Resource): string => `${resource.kind}/${resource.name}`
