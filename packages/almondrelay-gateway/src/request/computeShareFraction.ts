import type { OverloadSnapshot } from './overloadSnapshot.js'
import type { ShareInput } from './shareInput.js'
import { splitByPriority } from './splitByPriority.js'

/**
 * Computes the part of the requests of an organisation's route that is admitted while their service is overloaded.
 *
 * Load: two routes of different priority at one service, and organisations of different ranks. The organisation's rank and share come
 * first; within its share its more urgent routes come first, and each route has a minimum. The organisation's requests are assumed to
 * be spread over the routes as those of all organisations are: sums by organisation and route wouldn't fit into the hosts' reports.
 */
export function computeShareFraction (snapshot: OverloadSnapshot, input: ShareInput): number {
  const route = snapshot.routes.get(input.route)
  const share = computeOrganisationFraction(snapshot, input)
  if (share >= 1 || route === undefined) return share
  const fraction = computeRouteFraction(snapshot, share, input.routePriority)
  return fraction + (1 - fraction) * route.floorFraction
}

const computeOrganisationFraction = ({ marginPriority, organisations }: OverloadSnapshot, { organisation, organisationPriority }: ShareInput): number => {
  if (organisationPriority < marginPriority) return 1
  if (organisationPriority > marginPriority) return 0
  return organisations.get(organisation)?.fraction ?? 1
}

const computeRouteFraction = ({ routes }: OverloadSnapshot, share: number, priority: number): number => {
  const { earlier, same } = splitByPriority(routes.values(), priority, ({ mix }) => mix)
  return same === 0 ? share : Math.min(1, Math.max(0, (share - earlier) / same))
}
