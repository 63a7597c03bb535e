#!/usr/bin/env node
import { cpus } from 'node:os'
import { benchDeployment } from '../bench/benchDeployment.js'
import type { BenchSide } from '../bench/benchSide.js'
import { compareSides } from '../bench/compareSides.js'
import { ChildProgram } from '../cluster/childProgram.js'
import { Cluster } from '../cluster/cluster.js'
import { resolveProgram } from '../cluster/resolveProgram.js'
import { formatTable } from '../load/formatTable.js'
import { sendJson } from '../network/sendJson.js'

interface Lookup {
  hosts: Array<{ name: string, incarnation: number }>
}

const FORWARD_AIM = 0.5
const LOOKUP_AIM = 0.8
const LOOKUP_PATH = '/v1/lookup?service=bench&from=10.1.0.1'
/** Enough that a bench's non-idempotent requests all fit. */
const JOURNAL_ENTRIES = 2_000_000

const controller = new AbortController()
const { signal } = controller
const cluster = await Cluster.start({
  deployment: benchDeployment,
  signal,
  isSilent: true,
  targetProgramsAZone: 3,
  targetSettings: { sigma: 0 },
  hostSettings: { requests: { maxJournalEntries: JOURNAL_ENTRIES } }
})
const host = cluster.findHost('akl-a-1').plan
const { body } = await sendJson({ method: 'GET', address: host.caller, path: LOOKUP_PATH })
const lookup = body as Lookup
const home = `${lookup.hosts[0]?.name ?? ''};${lookup.hosts[0]?.incarnation ?? 0}`

async function startBare (program: 'benchForwarder' | 'benchLookup', args: string[]): Promise<string> {
  const child = ChildProgram.start({ name: program, args: [resolveProgram(program), ...args], signal })
  const line = await child.waitForLine((each) => each.startsWith('{"listening"'))
  return (JSON.parse(line) as { listening: string }).listening
}

const forwarder = await startBare('benchForwarder', ['--targets', cluster.targets.map((target) => target.address).join(',')])
const handler = await startBare('benchLookup', ['--answer', JSON.stringify(lookup)])
const makeSides = (method: 'GET' | 'POST', path: string, bareAddress: string): { bare: BenchSide, ours: BenchSide } => ({
  bare: { name: 'bare', address: bareAddress, path, method },
  ours: { name: 'almondrelayd', address: host.caller, path, method, ...(method === 'POST' ? { home } : {}) }
})

const rows = [
  await compareSides({ title: 'requests, idempotent', ...makeSides('GET', '/s/bench/read?answerBytes=600', forwarder), aim: FORWARD_AIM }, signal),
  await compareSides({ title: 'requests, non-idempotent', ...makeSides('POST', '/s/bench/write?answerBytes=600', forwarder), aim: FORWARD_AIM }, signal),
  await compareSides({ title: 'look-ups', ...makeSides('GET', LOOKUP_PATH, handler), aim: LOOKUP_AIM }, signal)
]
controller.abort()

const toPercent = (ratio: number): string => `${(ratio * 100).toFixed(0)}%`
const toMs = (ms: number): number => Number(ms.toFixed(2))
console.log(`Node.js ${process.version}, ${cpus().length} cores (${cpus()[0]?.model ?? 'unknown'}); medians of rounds in turn; one process a part\n`)
console.log(formatTable([
  ['', 'bare/s', 'ours/s', 'ratio', 'rounds', 'aim', 'bare p50 ms', 'ours p50 ms', 'added ms', 'failed'],
  ...rows.map((row) => [
    row.title, Math.round(row.barePerSecond), Math.round(row.oursPerSecond), toPercent(row.ratio),
    `${toPercent(row.ratioRange[0])} to ${toPercent(row.ratioRange[1])}`, toPercent(row.aim),
    toMs(row.bareP50Ms), toMs(row.oursP50Ms), toMs(row.oursP50Ms - row.bareP50Ms), Object.values(row.failures).reduce((sum, count) => sum + count, 0)
  ])
]))
for (const row of rows) console.log(`${row.title}: failures ${JSON.stringify(row.failures)}`)
