import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { parseResources } from '../parseResources.js'
import { sortByDependence } from '../sortByDependence.js'

const EXAMPLE = new URL('../../../../../docs/examples/resources.jsonc', import.meta.url).pathname

test('the commented example is valid and shows every kind', () => {
  const { resources, problems } = parseResources(EXAMPLE, readFileSync(EXAMPLE, 'utf8'))
  assert.equal(problems, [])
  assert.equal([...new Set(resources.map((each) => each.kind))].sort(), ['Drain', 'Link', 'Region', 'Service', 'ShiftCap', 'SteeringPolicy'])
})

test('each problem names its line, path and remedy', () => {
  const { problems } = parseResources('r.jsonc', `[
  { "kind": "Region", "name": "akl", "spec": { "availabilityZones": ["akl-a"], "maxInflight": 10 } },
  { "kind": "Regin", "name": "wlg", "spec": {} },
  { "kind": "Link", "name": "Akl", "spec": {} }
]`)
  const texts = problems.map((each) => `${each.line} ${each.path}: ${each.remedy}`)
  assert.ok(texts.includes("2 0.spec.maxInflight: write 'maxInFlight', or remove it"), texts.join('\n'))
  assert.ok(texts.some((text) => text.startsWith('2 0.spec.maxInFlight: add')), texts.join('\n'))
  assert.ok(texts.some((text) => text.startsWith('3 1.kind: write one of')))
  assert.ok(texts.some((text) => text.startsWith('4 2.name: use 1 to 63 lower-case')))
})

test('a duplicate resource and a file that is not a list are refused', () => {
  const region = '{ "kind": "Region", "name": "akl", "spec": { "availabilityZones": ["akl-a"], "maxInFlight": 10 } }'
  assert.match(parseResources('r.jsonc', `[${region},\n${region}]`).problems[0]?.found ?? '', 'Region/akl a second time')
  assert.match(parseResources('r.jsonc', region).problems[0]?.remedy ?? '', 'a list in brackets')
})

test('resources that others refer to come first, and caps before the policies they limit', () => {
  const make = (kind: 'Drain' | 'Service' | 'Region' | 'Link' | 'SteeringPolicy' | 'ShiftCap') => ({ kind, name: 'x', spec: {} })
  const sorted = sortByDependence([make('Drain'), make('SteeringPolicy'), make('ShiftCap'), make('Service'), make('Link'), make('Region')])
  assert.equal(sorted.map((each) => each.kind), ['Region', 'Link', 'Service', 'ShiftCap', 'SteeringPolicy', 'Drain'])
})

test.run()
