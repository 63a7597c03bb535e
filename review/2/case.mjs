// CONFIG: one spoiled Content-Length, and the host never again passes on an answer that comes in more than one piece.
import { fileURLToPath } from 'node:url'
import { ClientConnection } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

/** `garble` of the site: .35 of the upstreams spoil .02 of their answers for 5.5 s. Here 2 of 6. */
const FAULTY = 2
const UPSTREAMS = 6
const SPOILED_SHARE = 0.02
const GARBLE_MS = 5_500
/** `stable_window` of the site, and more than its `config_apply` (2,500 ms). */
const STABLE_MS = 4_000
const STEADY_MS = 10_000
const PER_SECOND = 60
/** Mean sizes of the site's answers: plate-lookup and report-pdf. */
const LOOKUP_BYTES = 400
const DOWNLOAD_BYTES = 90_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  let isGarbling = false
  let spoiled = 0
  const first = { prefix: '/lookups/', kind: 'safe', service: 'plate-svc', timeout: '2000ms' }
  const added = { prefix: '/reports/', kind: 'download', service: 'plate-svc', timeout: '2000ms' }
  deployment.configure(5, [first])
  const makeEncode = (isFaulty) => {
    let answers = 0
    return ({ id, head, request }) => {
      const length = request.url.startsWith(added.prefix) ? DOWNLOAD_BYTES : LOOKUP_BYTES
      const body = 'x'.repeat(length)
      answers += isGarbling ? 1 : 0
      // One wrong byte: the last digit of the length.
      const isSpoiled = isFaulty && isGarbling && answers % Math.round(1 / SPOILED_SHARE) === 1
      spoiled += isSpoiled ? 1 : 0
      if (isSpoiled) record(`an upstream spoils a byte of its answer to ${id}`)
      return `HTTP/1.1 200 OK\r\n${head}Content-Length: ${isSpoiled ? `${String(length).slice(0, -1)}~` : length}\r\n\r\n${body}`
    }
  }
  for (let index = 0; index < UPSTREAMS; index += 1) await deployment.addUpstream(`i-plate-${index + 1}`, 'plate-svc', { slots: 6, work: () => 60, encode: makeEncode(index < FAULTY) })
  const hosts = [await deployment.addHost(), await deployment.addHost()]
  await sleep(1_500)
  let number = 0
  const send = async (prefix, tally) => {
    number += 1
    const host = hosts[number % hosts.length]
    const connection = new ClientConnection(host.ip, host.ports.front)
    await connection.opened
    const answer = await connection.send({ id: `r-${number}`, path: `${prefix}${number}`, key: String(number % 53), deadlineMs: 2_000 })
    connection.close()
    tally[answer.status ?? answer.reason] = (tally[answer.status ?? answer.reason] ?? 0) + 1
  }
  const sendFor = async (ms, prefixes) => {
    const tallies = prefixes.map(() => ({}))
    const pending = []
    const end = performance.now() + ms
    for (let index = 0; performance.now() < end; index += 1) {
      pending.push(send(prefixes[index % prefixes.length], tallies[index % prefixes.length]))
      await sleep(1_000 / PER_SECOND)
    }
    await Promise.all(pending)
    prefixes.forEach((prefix, index) => { record(`answers on ${prefix}: ${JSON.stringify(tallies[index])}`) })
    return tallies
  }
  await sendFor(2_000, [first.prefix])
  isGarbling = hasTrouble
  await sendFor(GARBLE_MS, [first.prefix])
  isGarbling = false
  record(`the upstreams spoil no more answers; they have spoiled ${spoiled}`)
  await sendFor(STABLE_MS, [first.prefix])
  deployment.configure(6, [first, added])
  await sendFor(STABLE_MS, [first.prefix])
  const [ofFirst, ofAdded] = await sendFor(STEADY_MS, [first.prefix, added.prefix])
  const runs = deployment.upstreams.flatMap((upstream) => upstream.runs).filter(({ url, finishedAt }) => url.startsWith(added.prefix) && finishedAt !== undefined)
  record(`the upstreams have run ${runs.length} requests on ${added.prefix} to their end and answered them whole`)
  const share = (tally) => (tally[200] ?? 0) / Object.values(tally).reduce((sum, count) => sum + count, 0)
  return share(ofAdded) < share(ofFirst) / 4
})
