import { resourceSpecs } from 'almondrelay'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { buildResources } from '../buildResources.js'
import type { Deployment } from '../deployment.js'
import { kaolin } from '../kaolin.js'
import { kowhai } from '../kowhai.js'
import { planTargets } from '../planTargets.js'
import { withSmallestSizes } from '../withSmallestSizes.js'

const buildAddresses = (deployment: Deployment): Map<string, string> => {
  return new Map(planTargets(deployment).map((target, index) => [target.name, `127.0.0.1:${10_000 + index}`]))
}

test('both deployments have the targets, slots and hosts of the brief', () => {
  const countHosts = (deployment: Deployment): number => deployment.regions.flatMap((region) => region.availabilityZones).reduce((sum, zone) => sum + zone.hosts, 0)
  const countSlots = (deployment: Deployment): number => planTargets(deployment).reduce((sum, target) => sum + target.service.slots, 0)
  assert.equal([planTargets(kowhai).length, countSlots(kowhai), countHosts(kowhai)], [52, 16 * 6 + 12 * 4 + 12 * 3 + 12 * 3, 10])
  assert.equal([planTargets(kaolin).length, countSlots(kaolin), countHosts(kaolin)], [50, 14 * 6 + 36 * 3, 8])
})

test('every resource of every deployment is valid', () => {
  for (const deployment of [kowhai, kaolin, withSmallestSizes(kowhai), withSmallestSizes(kaolin)]) {
    for (const resource of buildResources(deployment, buildAddresses(deployment))) {
      const parsed = resourceSpecs[resource.kind].safeParse(resource.spec)
      assert.ok(parsed.success, `${deployment.name} ${resource.kind}/${resource.name}: ${parsed.error?.message ?? ''}`)
    }
  }
})

test('every zone has a target of every service', () => {
  const small = withSmallestSizes(kowhai)
  assert.is(planTargets(small).length, 24)
  assert.is(new Set(planTargets(small).map((target) => `${target.service.name}/${target.availabilityZone}`)).size, 24)
})

test.run()
