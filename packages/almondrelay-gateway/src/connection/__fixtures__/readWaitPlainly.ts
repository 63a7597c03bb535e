interface SentRequest {
  id: string
  method: string
  /** Bytes that the target had written on the connection when the request was sent. */
  at: number
}

interface Head {
  status: number
  headers: Array<[string, string]>
}

const STATUS_LINE = /^HTTP\/1\.1 ([1-5]\d\d)(?: .*)?$/
const HEADER = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*)$/
const CONTAINED_STATUS = /HTTP\/1\.\d [1-5]\d\d/
const CHUNK = /^([0-9A-Fa-f]+)[ \t]*(?:;.*)?$/

/**
 * Whether the newest request on an open connection may still be waiting, given all bytes that the target wrote on it: either its own
 * answer has begun and bytes of it are due, or nothing has come but whole answers to earlier requests, and perhaps the beginning of one
 * that states its length, and none of their bodies holds a status line with the id of the request behind it.
 */
export function readWaitPlainly (text: string, requests: readonly SentRequest[]): boolean {
  const pending = requests.at(-1) as SentRequest
  let at = 0
  const takeLine = (): string | undefined => {
    const end = text.indexOf('\r\n', at)
    if (end < 0) return undefined
    const line = text.slice(at, end)
    at = end + 2
    return line
  }
  const takeHead = (): Head | 'due' | 'unsound' => {
    let line = takeLine()
    while (line === '') line = takeLine()
    if (line === undefined) return 'due'
    const status = STATUS_LINE.exec(line)?.[1]
    if (status === undefined) return 'unsound'
    const headers: Head['headers'] = []
    for (line = takeLine(); line !== ''; line = takeLine()) {
      if (line === undefined) return 'due'
      const [, name, value] = HEADER.exec(line) ?? []
      if (name === undefined || value === undefined) return 'unsound'
      headers.push([name, value])
    }
    return { status: Number(status), headers }
  }
  const takeBody = ({ status, headers }: Head, method: string): 'whole' | 'due' | 'endless' | 'unsound' => {
    if (method === 'HEAD' || status === 204 || status === 304) return 'whole'
    const length = headers.find(([name]) => name === 'content-length')?.[1]
    if (length !== undefined) {
      at += Number(length)
      return at <= text.length ? 'whole' : 'due'
    }
    if (!headers.some(([name]) => name === 'transfer-encoding')) return 'endless'
    for (;;) {
      const line = takeLine()
      if (line === undefined) return 'due'
      const size = CHUNK.exec(line)?.[1]
      if (size === undefined) return 'unsound'
      if (Number.parseInt(size, 16) === 0) break
      at += Number.parseInt(size, 16) + 2
      if (at > text.length) return 'due'
      if (text.slice(at - 2, at) !== '\r\n') return 'unsound'
    }
    for (let line = takeLine(); line !== ''; line = takeLine()) {
      if (line === undefined) return 'due'
      if (!HEADER.test(line)) return 'unsound'
    }
    return 'whole'
  }
  const hasOwnAnswer = (bodyStart: number, end: number): boolean => {
    const body = text.slice(Math.max(bodyStart, pending.at), end)
    const status = CONTAINED_STATUS.exec(body)
    return status !== null && body.includes(pending.id, status.index)
  }
  for (;;) {
    const head = takeHead()
    if (head === 'unsound') return false
    if (head === 'due') return true
    if (head.status < 200) continue
    const ids = head.headers.filter(([name]) => name === 'id').map(([, value]) => value)
    const isRefusal = ids.length === 0 && head.status === 400 && head.headers.some(([name]) => name === 'not-run')
    const named = isRefusal ? requests[0] : requests.filter(({ id }) => ids.includes(id)).at(-1)
    const isOwn = at > pending.at && named === pending && ids.length <= 1
    if (at > pending.at && !isOwn && (named === undefined || ids.length > 1)) return false
    const bodyStart = at
    const body = takeBody(head, isOwn ? pending.method : named?.method ?? 'GET')
    if (isOwn) return body === 'due' || body === 'endless'
    if (body === 'unsound' || body === 'endless') return false
    if (hasOwnAnswer(bodyStart, body === 'due' ? text.length : at)) return false
    if (body === 'due') return true
  }
}
