import { z } from 'zod'
import type { Roster } from '../../process/limits/roster.js'
import { ResourceName } from '../../version/resources/resourceName.js'

const RosterValue = z.object({
  version: z.number().int().min(1),
  availabilityZone: ResourceName,
  hosts: z.array(z.object({ name: ResourceName, incarnation: z.number().int().min(0) })).max(1_000),
  lastLossVersion: z.number().int().min(0).optional()
})

/** Parses a roster from a platform value; returns undefined if the value is invalid. */
export function parseRoster (value: string): Roster | undefined {
  try {
    const { lastLossVersion, ...roster } = RosterValue.parse(JSON.parse(value))
    return lastLossVersion === undefined ? roster : { ...roster, lastLossVersion }
  } catch {
    return undefined
  }
}
