import { z } from 'zod'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import { ResourceName } from '../../version/resources/resourceName.js'

const LenderValue = z.object({ name: ResourceName, incarnation: z.number().int().min(0) })

/** Parses a lender from a platform value; returns undefined if the value is invalid. */
export function parseLender (value: string): RosterHost | undefined {
  try {
    return LenderValue.parse(JSON.parse(value))
  } catch {
    return undefined
  }
}
