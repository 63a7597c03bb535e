#!/usr/bin/env node
import { Command } from 'commander'
import { measureRate } from '../bench/measureRate.js'

interface BenchLoadOptions {
  address: string
  path: string
  method: string
  connections: string
  seconds: string
  home?: string
}

const options = new Command('benchLoad')
  .description('Keeps connections busy for a time and prints what came back as one JSON line')
  .requiredOption('--address <address>', 'IP number and port')
  .requiredOption('--path <path>', 'path and query')
  .option('--method <method>', 'GET, or POST with an id for each request', 'GET')
  .option('--connections <n>', 'connections, each with one request at a time', '32')
  .option('--seconds <n>', 'length', '3')
  .option('--home <host;incarnation>', 'home of non-idempotent requests')
  .parse()
  .opts<BenchLoadOptions>()

console.log(JSON.stringify(await measureRate({
  address: options.address,
  path: options.path,
  method: options.method as 'GET' | 'POST',
  connections: Number(options.connections),
  durationMs: Number(options.seconds) * 1_000,
  home: options.home
})))
