#!/usr/bin/env node
import { setMaxListeners } from 'node:events'
import { availableParallelism, cpus, loadavg } from 'node:os'
import { formatSection } from '../capacity/formatSection.js'
import { measureAccount } from '../capacity/measureAccount.js'
import { measureClientBlocks } from '../capacity/measureClientBlocks.js'
import { measureConfiguration } from '../capacity/measureConfiguration.js'
import { measureForwarding } from '../capacity/measureForwarding.js'
import { measureHeartbeats } from '../capacity/measureHeartbeats.js'
import { measureLookups } from '../capacity/measureLookups.js'
import { measureMembership } from '../capacity/measureMembership.js'
import { measurePlatform } from '../capacity/measurePlatform.js'
import { measureQuarantine } from '../capacity/measureQuarantine.js'

if (!('gc' in globalThis)) throw new Error('run it as npm run capacity, which passes --expose-gc to node')

// The fake platform waits for many tasks on one signal.
setMaxListeners(0)
console.log(`Node.js ${process.version}, ${cpus()[0]?.model ?? 'unknown processor'}, ${availableParallelism()} processors, load ${loadavg()[0]?.toFixed(1)}\n`)
for (const measure of [measureAccount, measureConfiguration, measureLookups, measureMembership, measurePlatform, measureHeartbeats, measureClientBlocks, measureForwarding, measureQuarantine]) {
  console.log(formatSection(await measure()))
}
