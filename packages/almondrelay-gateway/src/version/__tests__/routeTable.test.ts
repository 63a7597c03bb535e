import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeRoute } from '../__fixtures__/makeRoute.js'
import { RouteTable } from '../routeTable.js'

const test = suite('RouteTable')

const table = new RouteTable([makeRoute(), makeRoute({ pathPrefix: '/one/two/' }), makeRoute({ hostName: 'b.example', pathPrefix: '/' })])

test('the longest prefix that matches the path wins', () => {
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
