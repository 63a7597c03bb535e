#!/usr/bin/env node
import { Command } from 'commander'
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { listenApp } from '../network/listenApp.js'
import { createTargetControlApp } from '../target/createTargetControlApp.js'
import { Target } from '../target/target.js'
import { TargetSettings } from '../target/targetSettings.js'
import { createStopSignal } from './createStopSignal.js'

const options = new Command('target')
  .description('Target stand-ins: back ends with slots, service times and fault switches')
  .requiredOption('--targets <json>', 'a JSON file, or the JSON itself: [{name, service, slots, ...}]')
  .option('--control <address>', 'IP number and port of the control port', '127.0.0.1:0')
  .parse()
  .opts<{ targets: string, control: string }>()

const text = options.targets.trimStart().startsWith('[') ? options.targets : readFileSync(options.targets, 'utf8')
const settings = z.array(TargetSettings).parse(JSON.parse(text))
const signal = createStopSignal()
const targets = await Promise.all(settings.map(async (each) => await Target.start(each, signal)))
const control = await listenApp(createTargetControlApp(targets), options.control, signal)
console.log(JSON.stringify({
  control,
  targets: targets.map((target) => ({ name: target.state.settings.name, address: target.getAddress() }))
}))
