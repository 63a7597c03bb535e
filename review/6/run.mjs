// Case 6: an upstream that has left goes on getting requests, because another one restarted at the same time. See claim.txt.
import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Store } from '../stand-ins-2/store.mjs'
import { Host } from '../stand-ins-2/host.mjs'
import { Target } from '../stand-ins-2/target.mjs'
import { send, sleep } from '../stand-ins-2/client.mjs'
import { makeConfiguration } from '../stand-ins-2/configuration.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const record = fileURLToPath(new URL('record.txt', import.meta.url))
const DRAIN_MS = 2_500
const STEPS = 10
const STEP_MS = 4_500
/** Lookups come in bursts: one in the middle of each step, and one just after an upstream that has left may get none any more. */
const BURST = 60
const BURST_AFTER_MS = DRAIN_MS + 5
/** How long an upstream that restarts is down. */
const RESTART_MS = 200

writeFileSync(record, '')
const note = (text) => { appendFileSync(record, `${Math.round(performance.now())} ${text}\n`) }

const store = new Store()
await store.start('127.0.0.1')
store.put('op/config', makeConfiguration({
  routes: [
    { name: 'lookups', kind: 'safe', prefix: '/lookups/', service: 'registry', timeout: '2000ms' },
    { name: 'orders', kind: 'unsafe', prefix: '/orders/', service: 'orders', timeout: '2000ms' }
  ]
}))
const targets = []
const startTarget = async (id, service, port) => {
  // An upstream that leaves says so in all its answers.
  const target = await new Target({ id, service, zone: 'akl-a', isLeaving: false, handle: (request) => { setTimeout(() => { request.reply('ok', { extra: target.isLeaving ? 'Server-Leaving: 1\r\n' : '' }) }, 60) } }).start(port)
  targets.push(target)
  store.put(`servers/${id}`, target.describe())
  return target
}
const registry = []
for (let index = 0; index < 6; index += 1) registry.push(await startTarget(`i-registry-${index}`, 'registry'))
const orders = []
for (let index = 0; index < 3; index += 1) orders.push(await startTarget(`i-orders-${index}`, 'orders'))
const host = new Host({ name: 'front-akl-a-1', ip: '127.0.0.2', zone: 'akl-a', zones: { 'akl-a': 'akl' }, storeAddress: store.address })
await host.start()

const sentAt = new Map()
const state = { isEnding: false }
let count = 0
const answers = new Map()
const sendOne = (method, path) => {
  count += 1
  send(host.callerAddress, { method, path: `/${path}/${count}`, deadlineMs: 2_000, headers: { 'Affinity-Key': String(count) } }).then((result) => {
    sentAt.set(result.id, result.sentAt)
    const outcome = result.status ?? result.error
    answers.set(outcome, (answers.get(outcome) ?? 0) + 1)
  })
}
const sendBurst = () => {
  for (let index = 0; index < BURST; index += 1) sendOne('GET', 'lookups')
}
const orderClients = (async () => {
  while (!state.isEnding) {
    sendOne('POST', 'orders')
    await sleep(40)
  }
})()
sendBurst()
await sleep(4_000)

const late = []
for (let step = 0; step < STEPS; step += 1) {
  const stepEndsAt = performance.now() + STEP_MS
  registry.push(await startTarget(`i-registry-new-${step}`, 'registry'))
  note(`step ${step}: a new upstream of the service has registered itself`)
  await sleep(30)
  // The old one never reports "draining": its entry is removed, and it goes on serving for many seconds.
  const old = registry.shift()
  old.isLeaving = true
  store.remove(`servers/${old.id}`)
  const removedAt = performance.now()
  note(`the store has removed ${old.id}, which goes on serving`)
  if (isTrouble) {
    await sleep(50)
    const restarting = orders.shift()
    store.remove(`servers/${restarting.id}`)
    restarting.stop()
    await sleep(RESTART_MS)
    orders.push(await startTarget(restarting.id, 'orders', restarting.port))
    note(`${restarting.id} of the other service was started again under its id`)
  }
  await sleep(removedAt + BURST_AFTER_MS - performance.now())
  sendBurst()
  await sleep(1_000)
  sendBurst()
  await sleep(stepEndsAt - performance.now())
  const after = old.runs.filter(({ at }) => at > removedAt)
  const tooLate = after.filter(({ at, id }) => at > removedAt + DRAIN_MS && (sentAt.get(id) ?? 0) > removedAt + DRAIN_MS)
  for (const { id, at } of tooLate) note(`request ${id}, sent ${Math.round(sentAt.get(id) - removedAt)} ms after the removal, reached ${old.id} ${Math.round(at - removedAt)} ms after it`)
  note(`${old.id} got ${after.length} requests after its removal, the last one after ${Math.round((after.at(-1)?.at ?? removedAt) - removedAt)} ms, ${tooLate.length} of them sent and run later than ${DRAIN_MS} ms`)
  late.push(...tooLate)
  old.stop()
}
state.isEnding = true
await orderClients
await sleep(500)
const summary = `${count} requests sent, answers ${JSON.stringify([...answers])}; ${late.length} requests reached upstreams later than ${DRAIN_MS} ms after the store had removed their entries`
note(summary)
console.log(summary)
await host.remove()
store.stop()
for (const target of targets) target.stop()
process.exit(late.length > 0 ? 10 : 0)
