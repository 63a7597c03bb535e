// Tries freezes, kills, stops, cut links to upstreams, an unavailable store and faulty answers together, drawn from SEED, and checks TWICE, REFUSED, MIXED, UNASKED and
// crashes. The faults of the three cases are left out.
import { createHash } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { ClientConnection } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'
import { BREAK_OFF } from '../lib/upstream.mjs'

const LENGTH_MS = 80_000
const PER_SECOND = 120
const PROMISES = [408, 421, 429, 503]
const ODD_HEADERS = ['Server-Load: 3,,', 'Server-Load: 9999999999999999,1,3', 'Server-Load: a,b,c,d,e', 'Server-Limit: -5', 'Server-Limit: 1e9', 'Cold-Ms: abc', 'Keep-Alive: timeout=99999999999999999999', 'Keep-Alive: timeout=0', 'Retry-After: Wed', 'Server-Leaving: 2', 'Connection: close', 'Connection: foo, bar']

let state = Number(process.env.SEED ?? 1)
function draw () {
  state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
  return state / 2_147_483_648
}
const pick = (list) => list[Math.floor(draw() * list.length)]

function makeBody (id) {
  const size = 50 + Number.parseInt(createHash('md5').update(id).digest('hex').slice(0, 4), 16) % 40_000
  return createHash('sha512').update(id).digest('hex').repeat(Math.ceil(size / 128)).slice(0, size)
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  const broken = []
  const sent = new Map()
  deployment.configure(5, [
    { prefix: '/orders/', kind: 'unsafe', service: 'ordersvc', timeout: '3000ms' },
    { prefix: '/lookups/', kind: 'safe', service: 'regsvc', timeout: '2500ms' }
  ])
  const outcome = new Map()
  const encode = ({ id, head, run }) => {
    const body = makeBody(id)
    const answer = (status) => `HTTP/1.1 ${status}\r\n${head}Content-Length: ${body.length}\r\n\r\n${body}`
    const roll = hasTrouble ? draw() : 1
    if (roll < 0.01) return [BREAK_OFF]
    if (roll < 0.02) return [answer('200 OK').slice(0, -20), BREAK_OFF]
    if (roll < 0.03) return [answer('200 OK'), answer('200 OK')]
    if (roll < 0.04) return [answer('200 OK') + answer('200 OK').slice(0, 300)]
    if (roll < 0.05) return [`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${body}`, BREAK_OFF]
    if (roll < 0.07) return [answer('200 OK').replace('\r\n', `\r\n${pick(ODD_HEADERS)}\r\n`)]
    if (roll < 0.08) return ['HTTP/1.1 102 Processing\r\n\r\n', answer('200 OK')]
    if (roll < 0.09) return [answer('200 OK'), 'garbage after a whole answer\r\n']
    if (roll < 0.10) {
      outcome.set(`${id} ${run.upstream}`, 500)
      return [answer('500 Internal Server Error')]
    }
    return answer('200 OK')
  }
  const work = () => 40 + (draw() < 0.03 ? 1_500 : draw() * 200)
  for (let index = 0; index < 6; index += 1) await deployment.addUpstream(`i-order-${index + 1}`, 'ordersvc', { slots: 6, work, encode })
  for (let index = 0; index < 6; index += 1) await deployment.addUpstream(`i-reg-${index + 1}`, 'regsvc', { slots: 6, work, encode })
  const hosts = [await deployment.addLinkedHost(), await deployment.addLinkedHost(), await deployment.addLinkedHost()]
  await sleep(1_500)

  const day = { isOver: false }
  const expectedEnds = new Set()
  const watch = (host) => {
    host.exited.then((code) => { if (!day.isOver && !expectedEnds.has(host)) broken.push(`crash of ${host.name}: ${code} ${host.log.slice(-600)}`) })
  }
  hosts.forEach(watch)
  const trouble = async () => {
    while (!day.isOver) {
      await sleep(500 + draw() * 2_500)
      if (day.isOver) return
      const host = pick(hosts)
      const kind = pick(['freeze', 'kill', 'stop', 'store', 'cut', 'cut', 'cut and freeze'])
      record(`trouble: ${kind} ${kind === 'store' ? '' : host.name}`)
      if (kind === 'freeze') {
        host.kill('SIGSTOP')
        await sleep(300 + draw() * 4_700)
        host.kill('SIGCONT')
      } else if (kind.startsWith('cut')) {
        const resets = draw() < 0.4
        const links = host.links.filter(() => draw() < 0.8)
        for (const link of links) link.cut(resets)
        await sleep(1_000 + draw() * 3_000)
        if (kind !== 'cut') {
          const other = pick(hosts)
          other.kill('SIGSTOP')
          await sleep(300 + draw() * 4_000)
          other.kill('SIGCONT')
        }
        await sleep(draw() * 2_000)
        for (const link of links) link.heal()
      } else if (kind === 'store') {
        deployment.store.isSilent = true
        await sleep(1_000 + draw() * 3_500)
        deployment.store.isSilent = false
      } else {
        expectedEnds.add(host)
        host.kill(kind === 'kill' ? 'SIGKILL' : 'SIGTERM')
        await host.exited
        await sleep(300)
        expectedEnds.delete(host)
        await host.start().then(() => { watch(host) }, (error) => { broken.push(`no start: ${error.message}`) })
      }
    }
  }

  const counts = {}
  const free = new Map(hosts.map((host) => [host, []]))
  let number = 0
  const send = async () => {
    number += 1
    const id = `r${number}`
    const isOrder = draw() < 0.5
    const host = pick(hosts)
    const request = { id, method: isOrder ? 'POST' : 'GET', path: `/${isOrder ? 'orders' : 'lookups'}/${number}?q=${number}`, body: isOrder ? `body of ${id}` : '', key: String(number % 60), deadlineMs: isOrder ? 3_000 : 2_500 }
    sent.set(id, request)
    let connection = free.get(host).pop()
    if (connection === undefined || connection.closeReason !== undefined) connection = new ClientConnection(host.ip, host.ports.front)
    const isOpen = await Promise.race([connection.opened.then(() => true, () => false), sleep(1_000).then(() => false)])
    if (!isOpen) {
      connection.close()
      counts.unopened = (counts.unopened ?? 0) + 1
      return
    }
    const giveUpMs = draw() < 0.05 ? 100 : request.deadlineMs + 500
    const answer = await Promise.race([connection.send(request), sleep(giveUpMs).then(() => undefined)])
    request.answer = answer
    const label = answer === undefined ? 'given up' : answer.status ?? answer.reason
    counts[label] = (counts[label] ?? 0) + 1
    if (answer?.status === undefined || answer.headers.connection === 'close') connection.close()
    else free.get(host).push(connection)
  }
  const pending = new Set()
  const troubles = hasTrouble ? trouble() : undefined
  const end = performance.now() + LENGTH_MS
  while (performance.now() < end) {
    const one = send().catch((error) => { broken.push(`MIXED: bytes that are no answer: ${error.message}`) }).finally(() => { pending.delete(one) })
    pending.add(one)
    await sleep(1_000 / PER_SECOND)
  }
  await Promise.all(pending)
  day.isOver = true
  await troubles
  await sleep(3_500)

  const runs = new Map()
  for (const run of deployment.upstreams.flatMap((upstream) => upstream.runs)) runs.set(run.id, [...runs.get(run.id) ?? [], run])
  for (const [id, list] of runs) {
    const request = sent.get(id)
    if (request === undefined || list.some(({ method, url, body }) => method !== request.method || url !== request.path || body !== request.body)) broken.push(`UNASKED: ${id}`)
    if (request?.method === 'POST' && list.length > 1) broken.push(`TWICE: ${id} at ${list.map(({ upstream }) => upstream).join(', ')}`)
  }
  for (const { id, method, answer } of sent.values()) {
    if (method === 'POST' && PROMISES.includes(answer?.status) && runs.has(id)) broken.push(`REFUSED: ${id} ${answer.status}`)
    if (answer?.status !== 200) continue
    const upstream = (answer.headers['response-stamp'] ?? '').split('.')[0]
    if (answer.headers['response-stamp'] !== `${upstream}.${id}` || answer.body.toString('latin1') !== makeBody(id) || outcome.has(`${id} ${upstream}`)) broken.push(`MIXED: ${id}`)
  }
  record(`seed ${process.env.SEED ?? 1}: ${number} requests, ${[...runs.values()].flat().length} runs, answers ${JSON.stringify(counts)}`)
  for (const text of broken) record(text)
  console.log(`seed ${process.env.SEED ?? 1}: ${number} requests, answers ${JSON.stringify(counts)}; broken: ${broken.length === 0 ? 'nothing' : broken.slice(0, 5).join(' | ')}`)
  return broken.length > 0
})
