import type { Configuration } from './configuration.js'
import type { SteeringPolicySpec } from './resources/steeringPolicySpec.js'

const ANY_REGION = '*'

/** Finds the policy for a service's callers of a region: the policy for that region, else the one for every region. */
export function findSteeringPolicy (configuration: Configuration, service: string, region: string): SteeringPolicySpec | undefined {
  const policies = configuration.list('SteeringPolicy').map((policy) => policy.spec).filter((spec) => spec.service === service)
  return policies.find((spec) => spec.from === region) ?? policies.find((spec) => spec.from === ANY_REGION)
}
