#!/usr/bin/env node
import type { HttpBindings } from '@hono/node-server'
import { Command } from 'commander'
import { Hono } from 'hono'
import { listenApp } from '../network/listenApp.js'
import { createStopSignal } from './createStopSignal.js'

// What look-ups are measured against: a handler that answers a fixed object of the same form.
const options = new Command('benchLookup')
  .requiredOption('--answer <json>', 'the object that every look-up is answered with')
  .parse()
  .opts<{ answer: string }>()

const answer = JSON.parse(options.answer) as object
const app = new Hono<{ Bindings: HttpBindings }>()
app.get('/v1/lookup', (context) => {
  if (context.req.query('service') === undefined) return context.json({ message: 'name a service' }, 400)
  return context.json(answer)
})
console.log(JSON.stringify({ listening: await listenApp(app, '127.0.0.1:0', createStopSignal()) }))
