interface PlainReading {
  bodies: string[]
  /** Whether bytes were met that are no answer. */
  isUnsound: boolean
}

const STATUS_LINE = /^HTTP\/1\.\d ([1-5]\d\d)( [\t\x20-\x7e\x80-\xff]*)?$/
const HEADER = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)$/
const CHUNK = /^([0-9A-Fa-f]{1,16})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?$/
/** A line that holds a status line joins the part of one answer to another one, which the RFC's grammar allows. */
const JOINED = /.HTTP\/1\.\d [1-5]\d\d(?: |$)/
const MAX_BYTES = 16 * 1024 * 1024

/**
 * Reads the answers in a text at once, straight from RFC 9112 but for joined lines, to compare another reader with. What is cut short is neither passed on nor
 * unsound, but for the body of an answer without a length, which ends with the text.
 */
export function readAnswersPlainly (text: string): PlainReading {
  const bodies: string[] = []
  let at = 0
  let interim = 0
  const takeLine = (): string | undefined => {
    const end = text.indexOf('\n', at)
    if (end < 0) return undefined
    const line = text.slice(at, text[end - 1] === '\r' && end > at ? end - 1 : end)
    at = end + 1
    return line
  }
  const reject = (): PlainReading => ({ bodies, isUnsound: true })
  const finish = (): PlainReading => ({ bodies, isUnsound: false })
  for (;;) {
    let line = takeLine()
    for (let empty = 0; line === ''; empty += 1) {
      if (empty === 2) return reject()
      line = takeLine()
    }
    if (line === undefined) return finish()
    const status = Number(STATUS_LINE.exec(line)?.[1])
    if (Number.isNaN(status) || JOINED.test(line)) return reject()
    const headers: Array<[string, string]> = []
    for (line = takeLine(); line !== ''; line = takeLine()) {
      if (line === undefined) return finish()
      if (JOINED.test(line)) return reject()
      const isFolded = /^[ \t]/.test(line) && headers.length > 0
      const [, name, value] = HEADER.exec(line) ?? []
      const last = headers.at(-1)
      if (isFolded && last !== undefined && /^[\t\x20-\x7e\x80-\xff]*$/.test(line)) last[1] = `${last[1].trimEnd()}${last[1] === '' || line.trim() === '' ? '' : ' '}${line.trim()}`
      else if (name !== undefined) headers.push([name.toLowerCase(), (value ?? '').replace(/[ \t]+$/, '')])
      else return reject()
    }
    const lengths = headers.filter(([name]) => name === 'content-length').map(([, value]) => value)
    const encodings = headers.filter(([name]) => name === 'transfer-encoding').map(([, value]) => value.toLowerCase())
    if (lengths.some((length) => !/^\d+$/.test(length) || length !== lengths[0] || !Number.isSafeInteger(Number(length)))) return reject()
    if (encodings.length > 1 || (encodings.length === 1 && (encodings[0] !== 'chunked' || lengths.length > 0))) return reject()
    const hasBody = status >= 200 && status !== 204 && status !== 304
    if (status >= 200 && hasBody && Number(lengths[0] ?? 0) > MAX_BYTES) return reject()
    if (status < 200) {
      interim += 1
      if (status === 101 || interim > 16) return reject()
      if (Number(lengths[0] ?? 0) > MAX_BYTES) return reject()
      continue
    }
    interim = 0
    if (!hasBody) {
      bodies.push('')
    } else if (encodings.length === 1) {
      let body = ''
      for (;;) {
        const size = takeLine()
        if (size === undefined) return finish()
        const digits = CHUNK.exec(size)?.[1]
        if (digits === undefined || Number.parseInt(digits, 16) > MAX_BYTES) return reject()
        const length = Number.parseInt(digits, 16)
        if (length === 0) break
        if (text.length < at + length) return finish()
        body += text.slice(at, at + length)
        at += length
        const rest = text.slice(at, at + 2)
        if (rest.length < 2 && rest !== '\n') return finish()
        if (takeLine() !== '') return reject()
      }
      for (let trailer = takeLine(); trailer !== ''; trailer = takeLine()) {
        if (trailer === undefined) return finish()
        if (!HEADER.test(trailer) || JOINED.test(trailer)) return reject()
      }
      bodies.push(body)
    } else if (lengths.length > 0) {
      const length = Number(lengths[0])
      if (text.length < at + length) return finish()
      bodies.push(text.slice(at, at + length))
      at += length
    } else {
      bodies.push(text.slice(at))
      return finish()
    }
  }
}
