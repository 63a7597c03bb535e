import type { KnownTarget } from './knownTarget.js'
import { PlainWay } from './plainWay.js'
import { ProductWay } from './productWay.js'
import { RandomWay } from './randomWay.js'
import type { SteeringWay } from './steeringWay.js'

type MakeWay = (targets: readonly KnownTarget[], region: string) => SteeringWay

/** The ways that can be compared, by name. */
export const ways: Readonly<Record<string, MakeWay>> = {
  random: (targets, region) => new RandomWay(targets, region),
  plain: (targets, region) => new PlainWay(targets, region),
  product: (targets, region) => new ProductWay(targets, region, { boundsQueue: true, movesRegions: true }),
  'no-queue-bound': (targets, region) => new ProductWay(targets, region, { boundsQueue: false, movesRegions: true }),
  'own-region': (targets, region) => new ProductWay(targets, region, { boundsQueue: true, movesRegions: false })
}
