const NO_BODY = new Uint8Array(0)

/** Reads the whole body; returns undefined as soon as the stated or the received length exceeds `maxBytes`. */
export async function readBody (request: Request, maxBytes: number): Promise<Uint8Array | undefined> {
  if (request.method === 'GET' || request.method === 'HEAD' || request.body === null) return NO_BODY
  if (Number(request.headers.get('content-length') ?? 0) > maxBytes) return undefined
  const reader = request.body.getReader()
  const chunks: Uint8Array[] = []
  let bytes = 0
  for (let part = await reader.read(); !part.done; part = await reader.read()) {
    bytes += part.value.byteLength
    if (bytes > maxBytes) {
      // Cancelling the body would close the connection before the refusal is sent.
      reader.releaseLock()
      return undefined
    }
    chunks.push(part.value)
  }
  return Buffer.concat(chunks)
}
