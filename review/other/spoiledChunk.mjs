// MIXED: an upstream's spoiled answer in chunks is passed on as a whole one, cut short.
import { createHash } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { ClientConnection } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

const CHUNK_BYTES = 1_000
const CHUNKS = 5
const BODY_BYTES = CHUNK_BYTES * CHUNKS
/** The share of the upstreams that spoil answers, and of their answers (`garble`: .35 and .02 on the site), and for how long. */
const FAULTY = 2
const UPSTREAMS = 6
const SPOILED_SHARE = 0.02
const GARBLE_MS = 5_500
const PER_SECOND = 120
const BEFORE_MS = 2_000
const AFTER_MS = 2_000

function makeBody (id) {
  let text = ''
  for (let index = 0; text.length < BODY_BYTES; index += 1) text += createHash('sha256').update(`${id} ${index}`).digest('base64url')
  return text.slice(0, BODY_BYTES)
}

function encodeChunks (body) {
  const size = CHUNK_BYTES.toString(16)
  const parts = Array.from({ length: CHUNKS }, (_, index) => `${size}\r\n${body.slice(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)}\r\n`)
  return [...parts, '0\r\n\r\n'].join('')
}

/** Replaces one byte of the framing: the first digit of the size of the second, third or fourth chunk. */
function spoil (text, number) {
  const chunk = CHUNK_BYTES.toString(16).length + 2 + CHUNK_BYTES + 2
  const at = chunk * (1 + number % 3)
  return `${text.slice(0, at)}~${text.slice(at + 1)}`
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  let isGarbling = false
  const spoiled = new Set()
  deployment.configure(5, [
    { prefix: '/lookups/', kind: 'safe', service: 'regsvc', timeout: '2500ms' },
    { prefix: '/orders/', kind: 'unsafe', service: 'regsvc', timeout: '3000ms' }
  ])
  const makeEncode = (isFaulty) => {
    let answers = 0
    return ({ id, head }) => {
      const text = encodeChunks(makeBody(id))
      answers += isGarbling ? 1 : 0
      const isSpoiled = isFaulty && isGarbling && answers % Math.round(1 / SPOILED_SHARE) === 1
      if (isSpoiled) {
        spoiled.add(id)
        record(`an upstream spoils a byte of its answer to ${id}`)
      }
      return `HTTP/1.1 200 OK\r\n${head}Transfer-Encoding: chunked\r\n\r\n${isSpoiled ? spoil(text, spoiled.size) : text}`
    }
  }
  for (let index = 0; index < UPSTREAMS; index += 1) await deployment.addUpstream(`i-reg-${index + 1}`, 'regsvc', { slots: 6, work: () => 60, encode: makeEncode(index < FAULTY) })
  const hosts = [await deployment.addHost(), await deployment.addHost()]
  await sleep(1_500)

  let number = 0
  const wrong = []
  const counts = {}
  const free = hosts.map(() => [])
  const send = async () => {
    number += 1
    const hostIndex = number % hosts.length
    const host = hosts[hostIndex]
    const connection = free[hostIndex].pop() ?? new ClientConnection(host.ip, host.ports.front)
    await connection.opened
    const isOrder = number % 3 === 0
    const id = `r-${number}`
    const answer = await connection.send({ id, method: isOrder ? 'POST' : 'GET', path: `/${isOrder ? 'orders' : 'lookups'}/${number}`, body: isOrder ? 'an order' : '', key: String(number % 53), deadlineMs: 2_500 })
    counts[answer.status ?? answer.reason] = (counts[answer.status ?? answer.reason] ?? 0) + 1
    if (connection.closeReason === undefined && answer.headers?.connection !== 'close') free[hostIndex].push(connection)
    if (answer.status !== 200) return
    const body = answer.body.toString('latin1')
    if (answer.headers['response-stamp'] !== undefined && body === makeBody(id)) return
    wrong.push(id)
    record(`MIXED: ${isOrder ? 'POST' : 'GET'} ${id} is answered 200 with Response-Stamp ${answer.headers['response-stamp']}, Content-Length ${answer.headers['content-length']}, and ${body.length} bytes of a body that has ${BODY_BYTES}`)
  }
  const pending = []
  const sendFor = async (ms) => {
    const end = performance.now() + ms
    while (performance.now() < end) {
      pending.push(send())
      await sleep(1_000 / PER_SECOND)
    }
  }
  await sendFor(BEFORE_MS)
  isGarbling = hasTrouble
  if (hasTrouble) record(`${FAULTY} of ${UPSTREAMS} upstreams begin to spoil ${SPOILED_SHARE} of their answers`)
  await sendFor(GARBLE_MS)
  isGarbling = false
  if (hasTrouble) record('the upstreams spoil no more answers')
  await sendFor(AFTER_MS)
  await Promise.all(pending)
  record(`${number} requests sent; answers by status: ${JSON.stringify(counts)}; ${spoiled.size} answers spoiled; ${wrong.length} wrong bodies given as successes`)
  return wrong.length > 0
})
