// REFUSED: orders that upstreams are running are answered 408, because of a request behind them that the host itself has stopped reading.
import { fileURLToPath } from 'node:url'
import { ClientConnection, encodeRequest } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

/** Work of an order and of a lookup in milliseconds; the time limits are those of kgv-relay-grown (12,031 and 10,039 ms). */
const ORDER_WORK_MS = 1_600
const LOOKUP_WORK_MS = 100
/** `srv_slow` of the site: .18 of the upstreams work 4.9 times as long for 6 s. Here 2 of 12, and a run that begins in that time. */
const SLOW_UPSTREAMS = 2
const ORDER_UPSTREAMS = 12
const LOOKUP_UPSTREAMS = 8
const SLOW_FACTOR = 4.9
const SLOW_MS = 6_000
const LOOKUP_BYTES = 5_000
const CLIENTS = 36
/** Milliseconds between the beginnings of two clients. */
const CLIENT_GAP_MS = 100
/** Lookups sent behind the order at once, and those sent behind them a second later, while the order isn't answered. */
const FIRST_LOOKUPS = 4
const FURTHER_LOOKUPS = 8
const FURTHER_AFTER_MS = 1_000
/** The client writes what it sends in pieces of this size, as its send buffer has room, with a short pause between two. */
const PIECE_BYTES = 1_000
const PIECE_GAP_MS = 25

const PROMISES = [408, 421, 429, 503]

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  let isSlow = false
  deployment.configure(5, [
    { prefix: '/orders/', kind: 'unsafe', service: 'ordersvc', timeout: '12000ms' },
    { prefix: '/lookups/', kind: 'safe', service: 'regsvc', timeout: '10000ms' }
  ])
  const encodeOrder = ({ head }) => `HTTP/1.1 200 OK\r\n${head}Content-Length: 5\r\n\r\ndone\n`
  const encodeLookup = ({ head }) => `HTTP/1.1 200 OK\r\n${head}Content-Length: ${LOOKUP_BYTES}\r\n\r\n${'r'.repeat(LOOKUP_BYTES)}`
  for (let index = 0; index < ORDER_UPSTREAMS; index += 1) {
    const work = () => ORDER_WORK_MS * (isSlow && index < SLOW_UPSTREAMS ? SLOW_FACTOR : 1)
    await deployment.addUpstream(`i-order-${index + 1}`, 'ordersvc', { slots: 6, work, encode: encodeOrder })
  }
  for (let index = 0; index < LOOKUP_UPSTREAMS; index += 1) await deployment.addUpstream(`i-reg-${index + 1}`, 'regsvc', { slots: 6, work: () => LOOKUP_WORK_MS, encode: encodeLookup })
  const hosts = [await deployment.addHost(), await deployment.addHost()]
  await sleep(1_500)

  const encodeLookupRequest = (id) => encodeRequest({ id, method: 'GET', path: `/lookups/${id}`, deadlineMs: 10_000 })
  const play = async (number) => {
    await sleep(number * CLIENT_GAP_MS)
    const host = hosts[number % hosts.length]
    const connection = new ClientConnection(host.ip, host.ports.front)
    await connection.opened
    const order = { id: `order-${number}`, method: 'POST', path: `/orders/${number}`, body: `order ${number}`, deadlineMs: 12_000 }
    const answered = [connection.send(order)]
    record(`client ${number} sends POST ${order.path} id ${order.id}, and ${FIRST_LOOKUPS} lookups behind it`)
    const firstIds = Array.from({ length: FIRST_LOOKUPS }, (_, index) => `lookup-${number}-${index + 1}`)
    for (const id of firstIds) connection.write(encodeLookupRequest(id))
    answered.push(...firstIds.map((id) => connection.expectAnswer(id)))
    await sleep(FURTHER_AFTER_MS)
    const furtherIds = Array.from({ length: FURTHER_LOOKUPS }, (_, index) => `lookup-${number}-${FIRST_LOOKUPS + index + 1}`)
    answered.push(...furtherIds.map((id) => connection.expectAnswer(id)))
    const bytes = furtherIds.map(encodeLookupRequest).join('')
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      connection.write(bytes.slice(at, at + PIECE_BYTES))
      await sleep(PIECE_GAP_MS)
    }
    record(`client ${number} has sent ${FURTHER_LOOKUPS} further lookups behind them`)
    const answers = await Promise.all(answered)
    record(`client ${number} gets for ${order.id}: ${answers[0].status ?? `no answer (${answers[0].reason})`}, for the lookups behind it: ${answers.slice(1).map(({ status, reason }) => status ?? `none (${reason})`).join(', ')}`)
    connection.close()
    const [first] = answers
    if (!PROMISES.includes(first.status)) return [first]
    // The promise says that the order hasn't run and never will, so the client sends it again, on a new connection.
    const again = new ClientConnection(host.ip, host.ports.front)
    await again.opened
    const second = await again.send({ ...order, id: `${order.id}-again`, deadlineMs: 4_000 })
    record(`client ${number} has sent the order again as ${second.id} and gets ${second.status ?? `no answer (${second.reason})`}`)
    again.close()
    return [first, second]
  }

  isSlow = hasTrouble
  if (hasTrouble) record(`${SLOW_UPSTREAMS} of ${ORDER_UPSTREAMS} upstreams of ordersvc turn slow, x ${SLOW_FACTOR}`)
  setTimeout(() => {
    isSlow = false
    if (hasTrouble) record('no upstream is slow any more')
  }, SLOW_MS)
  const plays = await Promise.all(Array.from({ length: CLIENTS }, (_, index) => play(index + 1)))
  await sleep(4_000)
  const runs = deployment.upstreams.flatMap((upstream) => upstream.runs)
  let broken = 0
  for (const [first, second] of plays) {
    const run = runs.find(({ id }) => id === first.id)
    if (!PROMISES.includes(first.status) || run === undefined) continue
    broken += 1
    const repeat = runs.find(({ id }) => id === second.id)
    record(`REFUSED: ${first.id} was answered ${first.status}; ${run.upstream} has run it${run.finishedAt === undefined ? '' : ' to its end'}; sent again, it was run by ${repeat?.upstream ?? 'none'} too`)
  }
  record(`${CLIENTS} orders, ${broken} of them answered with a promise that was not true`)
  return broken > 0
})
