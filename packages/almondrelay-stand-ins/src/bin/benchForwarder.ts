#!/usr/bin/env node
import type { HttpBindings } from '@hono/node-server'
import { Command } from 'commander'
import { Hono } from 'hono'
import { Pool } from 'undici'
import { listenApp } from '../network/listenApp.js'
import { createStopSignal } from './createStopSignal.js'

// What an entry host is measured against: takes a request whole, sends it to the next target,
// sends the whole answer back. No admission, no limits, no journal, no account.
const options = new Command('benchForwarder')
  .requiredOption('--targets <addresses>', 'addresses of targets, with commas between')
  .parse()
  .opts<{ targets: string }>()

const PREFIX = '/s/bench'
const CONNECTIONS = 64
const signal = createStopSignal()
const pools = options.targets.split(',').map((address) => new Pool(`http://${address}`, { connections: CONNECTIONS, pipelining: 1 }))
let next = 0

const app = new Hono<{ Bindings: HttpBindings }>()
app.all(`${PREFIX}/*`, async (context) => {
  next = (next + 1) % pools.length
  const url = context.req.url
  const body = context.req.method === 'GET' ? null : new Uint8Array(await context.req.arrayBuffer())
  const answer = await (pools[next] as Pool).request({
    method: context.req.method as 'GET',
    path: url.slice(url.indexOf(PREFIX) + PREFIX.length),
    headers: Object.fromEntries([...context.req.raw.headers].filter(([name]) => name !== 'connection' && name !== 'content-length')),
    body
  })
  const type = String(answer.headers['content-type'])
  return new Response(await answer.body.arrayBuffer(), { status: answer.statusCode, headers: { 'content-type': type } })
})
console.log(JSON.stringify({ listening: await listenApp(app, '127.0.0.1:0', signal) }))
signal.addEventListener('abort', () => { for (const pool of pools) void pool.destroy() })
