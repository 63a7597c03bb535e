#!/usr/bin/env node
import { Command } from 'commander'
import { kaolin } from '../deployments/kaolin.js'
import { kowhai } from '../deployments/kowhai.js'
import { CallerSender } from '../load/callerSender.js'
import { checkLoad } from '../load/checkLoad.js'
import { formatLatencies } from '../load/formatLatencies.js'
import { generateOperations } from '../load/generateOperations.js'
import { runLoad } from '../load/runLoad.js'
import { summarizeLoad } from '../load/summarizeLoad.js'
import { waitUntilIdle } from '../load/waitUntilIdle.js'
import { sendJson } from '../network/sendJson.js'
import type { TargetRuns } from '../target/targetRuns.js'
import { createStopSignal } from './createStopSignal.js'

interface LoadOptions {
  deployment: string
  entry: string[]
  control: string[]
  rate: string
  seconds: string
  seed: string
  deadlineMs: string
  writeShare: string
}

const MAX_PRINTED = 20
const collect = (value: string, values: string[]): string[] => [...values, value]

const options = new Command('load')
  .description('Sends an open-loop load through entry hosts and checks what callers were told against what targets ran')
  .requiredOption('--entry <region=address>', 'caller address of an entry host of a region; repeat it', collect, [])
  .option('--control <address>', 'control port of a target program; repeat it. No check without one', collect, [])
  .option('--deployment <name>', 'kowhai or kaolin', 'kowhai')
  .option('--rate <n>', 'mean requests a second', '100')
  .option('--seconds <n>', 'length of the load', '10')
  .option('--seed <n>', 'seed of the load', '1')
  .option('--deadline-ms <ms>', 'deadline of each request', '5000')
  .option('--write-share <part>', 'part of a service\'s requests that are non-idempotent', '0.5')
  .parse()
  .opts<LoadOptions>()

const entries = new Map<string, string[]>()
for (const entry of options.entry) {
  const [region = '', address = ''] = entry.split('=')
  entries.set(region, [...entries.get(region) ?? [], address])
}
const readRuns = async (): Promise<TargetRuns[]> => {
  const replies = await Promise.all(options.control.map(async (address) => await sendJson({ method: 'GET', address, path: '/control/runs' })))
  return replies.flatMap((reply) => Object.values((reply.body as { targets: Record<string, TargetRuns> }).targets))
}

const signal = createStopSignal()
const sender = new CallerSender(entries, Number(options.seed))
const operations = generateOperations({
  deployment: options.deployment === 'kaolin' ? kaolin : kowhai,
  seed: Number(options.seed),
  rate: Number(options.rate),
  durationMs: Number(options.seconds) * 1_000,
  deadlineMs: Number(options.deadlineMs),
  writeShare: Number(options.writeShare),
  regions: Object.fromEntries([...kowhai.regions, ...kaolin.regions].map((region) => [region.name, entries.has(region.name) ? 1 : 0]))
})
const results = await runLoad(operations, sender, signal)
await sender.close()
console.log(`${formatLatencies(results)}\n\n${summarizeLoad(results)}`)
if (options.control.length > 0) {
  const problems = checkLoad(results, await waitUntilIdle(readRuns, signal))
  for (const problem of problems.slice(0, MAX_PRINTED)) console.log(`operation ${problem.operation} ${problem.message}`)
  console.log(`\n${results.length} operations, ${problems.length} that do not add up`)
  process.exitCode = problems.length === 0 ? 0 : 1
}
