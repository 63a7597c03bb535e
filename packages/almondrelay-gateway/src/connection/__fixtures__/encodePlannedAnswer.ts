import type { PlannedAnswer } from './plannedAnswer.js'

interface Names {
  own: string
  /** Another request that was sent on the same connection, or the own one if there is none. */
  other: string
  next: string
}

interface EncodedAnswer {
  /** The bytes that are written, in Latin-1. */
  text: string
  status: number
  body: string
  /** Whether the target wrote all that its framing asks for. */
  isWhole: boolean
  /** Whether the body ends with the connection. */
  isUnframed: boolean
}

const UNKNOWN_ID = 'id-never-sent'
const BODILESS_STATUSES = [204, 304]

/** Encodes an answer, as far as the target writes it. */
export function encodePlannedAnswer (answer: PlannedAnswer, method: string, names: Names): EncodedAnswer {
  const content = answer.body.map((part) => part.replace('{own}', names.own).replace('{other}', names.other).replace('{next}', names.next)).join('')
  const hasBody = method !== 'HEAD' && !BODILESS_STATUSES.includes(answer.status)
  const isUnframed = hasBody && answer.framing === 'none'
  const ids = listIds(answer, names).map((id) => `id: ${id}`)
  const others = [
    ...(answer.isNotRun ? ['not-run: yes'] : []),
    ...(answer.keepAliveMs === undefined ? [] : [`keep: ${answer.keepAliveMs}`]),
    ...(answer.closes ? ['connection: close'] : []),
    ...listFraming(answer, content)
  ]
  const headers = answer.isIdLast ? ['X-Note: plain', ...others, ...ids] : [...ids, ...others]
  const interim = answer.interim.map((status) => `HTTP/1.1 ${status} Interim\r\n\r\n`).join('')
  const head = `${'\r\n'.repeat(answer.emptyLines)}${interim}HTTP/1.1 ${answer.status} Some Reason\r\n${headers.join('\r\n')}\r\n\r\n`
  const whole = hasBody ? head + encodeBody(answer, content) : head
  const length = Math.floor(whole.length * answer.share)
  const text = whole.slice(0, length)
  // The end of the connection completes an answer without a length wherever its body ends.
  const isEndedByClose = isUnframed && length >= head.length
  return {
    text,
    status: answer.status,
    body: !hasBody ? '' : isEndedByClose ? text.slice(head.length) : content,
    isWhole: length === whole.length || isEndedByClose,
    isUnframed
  }
}

const listIds = ({ label }: PlannedAnswer, { own, other }: Names): string[] => {
  switch (label) {
    case 'own': return [own]
    case 'none': return []
    case 'unknown': return [UNKNOWN_ID]
    case 'letters': return [own.toUpperCase()]
    case 'own-and-other': return [own, other === own ? UNKNOWN_ID : other]
    case 'other-and-own': return [other === own ? UNKNOWN_ID : other, own]
  }
}

// An answer with status 204 must not state a length, one with status 304 may (RFC 9110, section 8.6).
const listFraming = ({ status, framing }: PlannedAnswer, content: string): string[] => {
  if (status === 204 || framing === 'none') return []
  return framing === 'length' ? [`content-length: ${content.length}`] : ['transfer-encoding: chunked']
}

const encodeBody = ({ framing }: PlannedAnswer, content: string): string => {
  if (framing === 'length' || framing === 'none') return content
  const middle = Math.ceil(content.length / 2)
  const chunks = [content.slice(0, middle), content.slice(middle)].filter((chunk) => chunk !== '')
  const lines = chunks.map((chunk) => `${chunk.length.toString(16)};part="a"\r\n${chunk}\r\n`).join('')
  return `${lines}0\r\n${framing === 'chunks-and-trailer' ? 'X-Sum: 7\r\n' : ''}\r\n`
}
