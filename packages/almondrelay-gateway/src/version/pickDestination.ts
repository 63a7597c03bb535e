import type { Destination } from './destination.js'

/**
 * Picks the destination of one request among those of its route, by weight.
 *
 * @param random in [0, 1)
 */
export function pickDestination (destinations: readonly Destination[], random: number): string | undefined {
  const total = destinations.reduce((sum, each) => sum + each.weight, 0)
  let left = random * total
  for (const { service, weight } of destinations) {
    left -= weight
    if (left < 0) return service
  }
  return destinations.at(-1)?.service
}
