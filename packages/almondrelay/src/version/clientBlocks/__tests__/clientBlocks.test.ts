import { isIP } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { ClientBlocks } from '../clientBlocks.js'
import { parseIp } from '../parseIp.js'
import { parsePrefix } from '../parsePrefix.js'

const RUNS = { seed: 17, numRuns: 400 }

/** Independent reference: the bits of an IP address as text. The URL parser normalizes IPv6. */
const toBits = (ip: string): string => {
  if (!ip.includes(':')) return ip.split('.').map((part) => Number(part).toString(2).padStart(8, '0')).join('')
  const [head = '', tail = ''] = new URL(`http://[${ip}]/`).hostname.slice(1, -1).split('::')
  const split = (text: string): string[] => text === '' ? [] : text.split(':')
  const groups = [...split(head), ...new Array<string>(8 - split(head).length - split(tail).length).fill('0'), ...split(tail)]
  return groups.map((group) => parseInt(group, 16).toString(2).padStart(16, '0')).join('')
}

/** Reference implementation: compares every prefix and keeps the longest, or the first region by name where two are equal. */
const findNaively = (lists: ReadonlyMap<string, readonly string[]>, ip: string): string | undefined => {
  let best: { region: string, length: number } | undefined
  for (const region of [...lists.keys()].sort()) {
    for (const prefix of lists.get(region) ?? []) {
      const [address = '', length = ''] = prefix.split('/')
      if (address.includes(':') !== ip.includes(':')) continue
      if (toBits(address).slice(0, Number(length)) !== toBits(ip).slice(0, Number(length))) continue
      if (best === undefined || Number(length) > best.length) best = { region, length: Number(length) }
    }
  }
  return best?.region
}

// Few distinct values, so that prefixes nest, adjoin and repeat.
const octet = fc.constantFrom(0, 1, 127, 128, 255)
const v4 = fc.tuple(octet, octet, octet, octet).map((parts) => parts.join('.'))
const group = fc.constantFrom('0', '1', '2001', '7fff', '8000', 'ffff')
const v6 = fc.array(group, { minLength: 8, maxLength: 8 }).map((parts) => parts.join(':')).filter((ip) => !ip.startsWith('0:0:0:0:0:ffff:'))
const prefix = fc.oneof(
  fc.tuple(v4, fc.integer({ min: 0, max: 32 })).map(([ip, length]) => `${ip}/${length}`),
  fc.tuple(v6, fc.oneof(fc.integer({ min: 0, max: 128 }), fc.constantFrom(15, 16, 17, 63, 64, 65, 96, 128))).map(([ip, length]) => `${ip}/${length}`)
)
const lists = fc.uniqueArray(fc.tuple(fc.constantFrom('akl', 'chc', 'wlg', 'tpe'), fc.array(prefix, { maxLength: 12 })), { selector: ([name]) => name, maxLength: 4 }).map((entries) => new Map(entries))
const ips = fc.array(fc.oneof(v4, v6), { minLength: 5, maxLength: 15 })

test('the longest prefix is found, as by a comparison with every prefix', () => {
  fc.assert(fc.property(lists, ips, (regions, numbers) => {
    const table = ClientBlocks.empty.withRegions(regions)
    for (const ip of numbers) assert.is(table.findRegion(ip), findNaively(regions, ip), `${ip} in ${JSON.stringify([...regions])}`)
  }), RUNS)
})

// Hosts reach a revision in different ways: some from a snapshot, others change by change. If their
// tables differed, different hosts would send the same caller to different regions.
test('a table that was changed step by step equals the one built at once', () => {
  fc.assert(fc.property(fc.array(lists, { minLength: 2, maxLength: 4 }), ips, (steps, numbers) => {
    let table = ClientBlocks.empty
    for (const step of steps) table = table.withRegions(step)
    const last = steps.at(-1) ?? new Map<string, string[]>()
    for (const ip of numbers) assert.is(table.findRegion(ip), findNaively(last, ip))
  }), RUNS)
})

test('a prefix that is listed in two notations stays until both are removed', () => {
  const lists = [['10.0.0.0/8', '10.9.9.9/8'], ['10.9.9.9/8'], []]
  let table = ClientBlocks.empty
  const found = lists.map((list) => {
    table = table.withRegions(new Map([['akl', list]]))
    return table.findRegion('10.1.1.1')
  })
  assert.equal(found, ['akl', 'akl', undefined])
})

test('an earlier table keeps its blocks', () => {
  const first = ClientBlocks.empty.withRegions(new Map([['akl', ['10.0.0.0/8']]]))
  const second = first.withRegions(new Map([['wlg', ['10.0.0.0/8', '10.1.0.0/16']]]))
  assert.is(first.findRegion('10.1.2.3'), 'akl')
  assert.is(second.findRegion('10.1.2.3'), 'wlg')
})

test('an IPv4-mapped IPv6 address is found as IPv4', () => {
  const table = ClientBlocks.empty.withRegions(new Map([['akl', ['10.0.0.0/8']], ['wlg', ['::/0']]]))
  assert.is(table.findRegion('::ffff:10.1.2.3'), 'akl')
  assert.is(table.findRegion('::1'), 'wlg')
  assert.is(table.findRegion('11.0.0.1'), undefined)
})

test('text is parsed as an IP address exactly where node:net accepts it', () => {
  const odd = fc.oneof(v4, v6, fc.string({ unit: fc.constantFrom('1', '0', '25', ':', '::', '.', 'f', 'g', ' '), maxLength: 12 }), fc.ipV4(), fc.ipV6())
  fc.assert(fc.property(odd, (text) => {
    assert.is(parseIp(text) !== undefined, isIP(text) !== 0, text)
  }), { seed: 5, numRuns: 5_000 })
})

test('a prefix needs an IP address and a length that fits its family', () => {
  for (const text of ['10.0.0.0', '10.0.0.0/33', '::/129', '10.0.0.0/-1', '10.0.0.0/01', 'akl/8', '/8', '10.0.0.0/8/8']) assert.is(parsePrefix(text), undefined, text)
  assert.is(parsePrefix('10.9.8.7/8')?.start.key, 0)
})

test.run()
