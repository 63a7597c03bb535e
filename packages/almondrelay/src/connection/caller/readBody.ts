const NO_BODY = new Uint8Array(0)

/** Reads the whole body; returns undefined if the stated or the actual length exceeds `maxBytes`. */
export async function readBody (request: Request, maxBytes: number): Promise<Uint8Array | undefined> {
  if (request.method === 'GET' || request.method === 'HEAD') return NO_BODY
  const contentLength = Number(request.headers.get('content-length') ?? 0)
  if (contentLength > maxBytes) return undefined
  const body = new Uint8Array(await request.arrayBuffer())
  return body.byteLength > maxBytes ? undefined : body
}
