import { DrainSpec } from './drainSpec.js'
import { LinkSpec } from './linkSpec.js'
import { RegionSpec } from './regionSpec.js'
import { ResourceKind } from './resourceKind.js'
import { ServiceSpec } from './serviceSpec.js'
import { ShiftCapSpec } from './shiftCapSpec.js'
import { SteeringPolicySpec } from './steeringPolicySpec.js'

/** The schema of each kind's spec. */
export const resourceSpecs = {
  [ResourceKind.service]: ServiceSpec,
  [ResourceKind.region]: RegionSpec,
  [ResourceKind.link]: LinkSpec,
  [ResourceKind.steeringPolicy]: SteeringPolicySpec,
  [ResourceKind.drain]: DrainSpec,
  [ResourceKind.shiftCap]: ShiftCapSpec
} as const
