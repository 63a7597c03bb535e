const NO_BODY = new Uint8Array(0)

/** Reads a body whole; undefined as soon as it is longer than `maxBytes`. */
export async function readBody (request: Request, maxBytes: number): Promise<Uint8Array | undefined> {
  if (request.method === 'GET' || request.method === 'HEAD') return NO_BODY
  const stated = Number(request.headers.get('content-length') ?? 0)
  if (stated > maxBytes) return undefined
  const body = new Uint8Array(await request.arrayBuffer())
  return body.byteLength > maxBytes ? undefined : body
}
