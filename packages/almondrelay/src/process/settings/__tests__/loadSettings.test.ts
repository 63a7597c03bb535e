import { readFile } from 'node:fs/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AlmondrelayError } from '../../errors/almondrelayError.js'
import { loadSettings } from '../loadSettings.js'
import { parseSettings } from '../parseSettings.js'
import { HostSettings } from '../hostSettings.js'

const EXAMPLE = new URL('../../../../../../docs/examples/almondrelayd.jsonc', import.meta.url).pathname
const example = await readFile(EXAMPLE, 'utf8')

const readMessage = (text: string): string => {
  try {
    parseSettings('host.jsonc', text)
  } catch (error) {
    assert.instance(error, AlmondrelayError)
    assert.is((error as AlmondrelayError).kind, 'settings-invalid')
    return (error as Error).message
  }
  throw new Error('invalid settings were accepted')
}

test('the commented example is valid and shows every setting', async () => {
  const settings = await loadSettings(EXAMPLE)
  assert.is(settings.host.name, 'akl-a-1')
  for (const [section, schema] of Object.entries(HostSettings.shape)) {
    assert.ok(example.includes(`"${section}"`), section)
    const inner = 'unwrap' in schema ? schema.unwrap() : schema
    for (const name of Object.keys('shape' in inner ? inner.shape : {})) assert.ok(example.includes(`"${name}"`), `${section}.${name}`)
  }
})

test('the default values in the commented example match those of the schema', () => {
  const stated = parseSettings('host.jsonc', example)
  const text = JSON.stringify({ host: stated.host, listen: stated.listen, platform: { url: stated.platform.url } })
  const plain = parseSettings('host.jsonc', text)
  assert.equal({ ...plain, peers: stated.peers, metrics: stated.metrics }, stated)
})

// A misspelt name such as `maxQueue` must be refused: a parser that ignores unknown names would start the host with the
// default, and the operator's limit would silently have no effect.
test('an unknown setting is refused with the nearest known name and its line', () => {
  const message = readMessage(example.replace('"maxQueued"', '"maxQueue"'))
  const line = example.split('\n').findIndex((each) => each.includes('"maxQueued"')) + 1
  assert.match(message, `host.jsonc:${line} requests.maxQueue: found the unknown name 'maxQueue'; write 'maxQueued', or remove it`)
})

test('every problem is listed, with what was found and what to write', () => {
  const message = readMessage(example
    .replace('"10.1.1.11:8080"', '"akl-a-1:8080"')
    .replace('"level": "info"', '"level": "loud"')
    .replace('"heartbeatMs": 250', '"heartbeatMs": "250"')
    .replace('"ttlMs": 2000', '"ttlMs": 0')
    .replace('"url": "http://10.1.0.2:7000",', ''))
  assert.match(message, 'listen.caller: found "akl-a-1:8080"; write an IP number and a port')
  assert.match(message, 'log.level: found "loud"; write one of "trace", "debug", "info", "warn", "error"')
  assert.match(message, 'peering.heartbeatMs: found "250"; write a number')
  assert.match(message, 'lookups.ttlMs: found 0; write at least 1')
  assert.match(message, 'platform.url: found nothing; add a')
  assert.match(message, 'docs/examples/almondrelayd.jsonc')
})

test('a file that is not JSON, is empty or holds a name twice is refused with its line', () => {
  assert.match(readMessage('listen = 1'), 'host.jsonc:1 (whole file)')
  assert.match(readMessage(''), 'host.jsonc:1 (whole file)')
  assert.match(readMessage('[]'), 'found []; write an object in braces')
  assert.match(readMessage('{"host": {"name": "a"},\n "host": {}}'), 'host.jsonc:2 host: found the same name a second time')
})

test('a file that is absent is refused', async () => {
  const error = await loadSettings('/nowhere/almondrelayd.jsonc').catch((reason: Error) => reason)
  assert.instance(error, AlmondrelayError)
  assert.match((error as Error).message, 'name a readable file with --settings')
})

test.run()
