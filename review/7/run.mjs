// Case 7: after an outage of the store, look-ups name machines that were lost seconds before. See claim.txt.
import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Store } from '../stand-ins-2/store.mjs'
import { Host } from '../stand-ins-2/host.mjs'
import { Target } from '../stand-ins-2/target.mjs'
import { sleep } from '../stand-ins-2/client.mjs'
import { makeConfiguration } from '../stand-ins-2/configuration.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const record = fileURLToPath(new URL('record.txt', import.meta.url))
const STABLE_WINDOW_MS = 3_000
const OUTAGE_MS = 4_500
const TRIALS = 6
/** One client asks each of the running machines every 50 ms: fewer look-ups than those of a zone's clients. */
const LOOKUP_INTERVAL_MS = 50

writeFileSync(record, '')
const note = (text) => { appendFileSync(record, `${Math.round(performance.now())} ${text}\n`) }

const store = new Store()
await store.start('127.0.0.1')
store.put('op/config', makeConfiguration({ routes: [{ name: 'lookups', kind: 'safe', prefix: '/lookups/', service: 'registry' }] }))
const target = await new Target({ id: 'i-registry-0', service: 'registry', zone: 'wlg-b', handle: (request) => { request.reply('ok') } }).start()
store.put('servers/i-registry-0', target.describe())
const zones = { 'akl-a': 'akl', 'wlg-a': 'wlg', 'wlg-b': 'wlg' }
const makeHost = (name, ip, zone) => new Host({ name, ip, zone, zones, storeAddress: store.address })
const staying = makeHost('front-wlg-b-1', '127.0.0.2', 'wlg-b')
const remote = makeHost('front-akl-a-1', '127.0.0.3', 'akl-a')
const lost = [makeHost('front-wlg-a-1', '127.0.0.4', 'wlg-a'), makeHost('front-wlg-a-2', '127.0.0.5', 'wlg-a')]
await Promise.all([staying, remote, ...lost].map((host) => host.start()))
await sleep(4_000)

let broken = 0
const answers = []
for (let trial = 0; trial < TRIALS; trial += 1) {
  // A random moment between two renewals of the hosts' leases.
  await sleep(1_300 * Math.random())
  for (const host of lost) host.kill('SIGKILL')
  await Promise.all(lost.map((host) => host.exit))
  const lostAt = performance.now()
  note(`trial ${trial}: ${lost.map(({ name }) => name).join(' and ')} were lost`)
  if (isTrouble) store.setDown(true)
  await sleep(OUTAGE_MS)
  store.setDown(false)
  const returnedAt = performance.now()
  if (isTrouble) note('the store answers again')
  const judgedFrom = Math.max(returnedAt + STABLE_WINDOW_MS, lostAt + STABLE_WINDOW_MS + 3_000)
  let named = 0
  let asked = 0
  while (performance.now() < judgedFrom + 3_000) {
    const askedAt = performance.now()
    const addresses = await staying.resolve('wlg', 'wlg-b').catch(() => undefined)
    if (askedAt >= judgedFrom && addresses !== undefined) {
      asked += 1
      const dead = addresses.filter((address) => lost.some(({ callerAddress }) => callerAddress === address))
      if (dead.length > 0 && addresses.includes(staying.callerAddress)) {
        named += 1
        note(`${staying.name} answers ${addresses.join(', ')} ${Math.round(askedAt - lostAt)} ms after the loss of ${dead.join(', ')}, ${Math.round(askedAt - returnedAt)} ms after the store's return`)
      }
    }
    await sleep(LOOKUP_INTERVAL_MS)
  }
  answers.push(`${named} of ${asked}`)
  broken += named
  await Promise.all(lost.map((host) => host.run()))
  await sleep(1_500)
}
const summary = `${broken} look-up answers of a machine in touch named lost machines beside a running one; by trial: ${answers.join(', ')}`
note(summary)
console.log(summary)
for (const host of [staying, remote, ...lost]) await host.remove()
store.stop()
target.stop()
process.exit(broken > 3 ? 10 : 0)
