#!/usr/bin/env node
import { Command } from 'commander'
import { listenApp } from '../network/listenApp.js'
import { createPlatformApp } from '../platform/createPlatformApp.js'
import { createStopSignal } from './createStopSignal.js'

const options = new Command('platform')
  .description('The platform stand-in: key-value service, leases, watches and host list')
  .option('--listen <address>', 'IP number and port; port 0 picks a free one', '127.0.0.1:0')
  .option('--host-list-lag-ms <ms>', 'lag of the host list', '1000')
  .parse()
  .opts<{ listen: string, hostListLagMs: string }>()

const signal = createStopSignal()
const app = createPlatformApp({ hostListLagMs: Number(options.hostListLagMs), signal })
console.log(JSON.stringify({ listening: await listenApp(app, options.listen, signal) }))
