import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { testMembership } from '../__fixtures__/testMembership.js'
import type { Membership } from '../membership.js'

const { makeSummary, createMembership } = testMembership

function listHosts (regions: number, zones: number, hosts: number): string[] {
  const names: string[] = []
  for (let region = 0; region < regions; region++) {
    for (let zone = 0; zone < zones; zone++) {
      for (let host = 0; host < hosts; host++) names.push(`r${region + 10}-z${zone + 10}-${host + 10}`)
    }
  }
  return names
}

function createView (host: string, all: readonly string[]): Membership {
  const membership = createMembership(host)
  for (const other of all) if (other !== host) membership.observeSummary(makeSummary(other, { ageMs: 1 }), 10)
  return membership
}

const countRate = (membership: Membership): number => membership.planNeighbours(10).reduce((sum, neighbour) => sum + 1_000 / neighbour.intervalMs, 0)

test('neighbours and heartbeats a second do not grow with zones and hosts', () => {
  for (const [regions, zones, hosts] of [[3, 2, 2], [3, 2, 10], [21, 4, 10], [21, 4, 60], [2, 40, 10]] as const) {
    const all = listHosts(regions, zones, hosts)
    for (const host of [all[0], all[Math.floor(hosts / 2)], all.at(-1)]) {
      const membership = createView(host as string, all)
      assert.ok(membership.planNeighbours(10).length <= 13, `${host} of ${all.length}`)
      assert.ok(countRate(membership) <= 23, `${host} of ${all.length}: ${countRate(membership)}`)
    }
  }
})

// If the neighbour graph did not connect every host of a zone, a change would never reach some of them
// while the zone is partitioned from the platform.
test('neighbours connect all hosts of a zone, and zones and regions with each other (seed 12)', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: 7 }), fc.integer({ min: 1, max: 12 }), (regions, zones, hosts) => {
    const all = listHosts(regions, zones, hosts)
    const links = new Map(all.map((host) => [host, createView(host, all).planNeighbours(10).map((neighbour) => neighbour.host)]))
    const reached = new Set<string>(all.slice(0, 1))
    for (const host of reached) {
      for (const next of links.get(host) ?? []) reached.add(next)
      for (const [other, targets] of links) if (targets.includes(host)) reached.add(other)
    }
    assert.is(reached.size, all.length)
  }), { seed: 12, numRuns: 40 })
})

test('a zone full of stale entries of the host list leaves room for live neighbours', () => {
  const membership = createView('r10-z10-15', listHosts(1, 1, 6))
  for (let index = 0; index < 200; index++) membership.observeListed({ ...makeSummary(`r10-z10-5${index}`), isLeaving: false }, 10)
  const hosts = membership.planNeighbours(10).map((neighbour) => neighbour.host)
  assert.ok(hosts.filter((host) => host.length === 'r10-z10-10'.length && host < 'r10-z10-16').length >= 4)
  assert.ok(hosts.length <= 9)
})

test.run()
