import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Route } from '../route.js'
import { RouteTable } from '../routeTable.js'

const test = suite('RouteTable')

const makeRoute = (hostName: string, pathPrefix: string): Route => ({
  name: `${hostName}${pathPrefix}`,
  hostName,
  pathPrefix,
  idempotent: true,
  timeoutMs: 2_000,
  targetLatencyMs: 250,
  priority: 0,
  sessionAffinity: true,
  maxAttempts: 2,
  allowedRegions: [],
  destinations: [{ service: 'balances', weight: 1 }]
})

const table = new RouteTable([makeRoute('a.example', '/one/'), makeRoute('a.example', '/one/two/'), makeRoute('b.example', '/')])

test('the longest prefix that begins the path wins', () => {
  assert.is(table.findRoute('a.example', '/one/two/3')?.pathPrefix, '/one/two/')
  assert.is(table.findRoute('a.example', '/one/twofold')?.pathPrefix, '/one/')
  assert.is(table.findRoute('b.example', '/anything')?.pathPrefix, '/')
})

test('a path outside every prefix, or another host, has no route', () => {
  assert.is(table.findRoute('a.example', '/one'), undefined)
  assert.is(table.findRoute('a.example', '/other/'), undefined)
  assert.is(table.findRoute('c.example', '/one/'), undefined)
})

test.run()
