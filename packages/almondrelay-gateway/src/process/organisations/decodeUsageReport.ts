import type { UseReport as Message, ZoneUse as ZoneMessage } from 'almondrelay-protocol'
import { decodeWorkReport } from '../shares/decodeWorkReport.js'
import type { UsageReport } from './usageReport.js'
import type { ZoneUsage } from './zoneUsage.js'

/** Maximum length of a host's or zone's name. Reports with longer names are rejected, as they can't come from a host. */
const MAX_NAME_LENGTH = 200
/** Twice the number of hosts of the largest fleet. A sum over more hosts can't be genuine. */
const MAX_HOSTS = 10_000

/**
 * Decodes a report of organisations' requests. Returns undefined if a host can't have sent it, for example because a rate isn't finite:
 * such a rate would make every sum that includes it useless.
 */
export function decodeUsageReport (message: Message): UsageReport | undefined {
  const { host, incarnation, availabilityZone, sequence, organisationHashes, asked, letThrough, zone, fleet } = message
  const hasValidNames = [host, availabilityZone].every((name) => name.length > 0 && name.length <= MAX_NAME_LENGTH)
  const hasCompleteCounts = asked.length === organisationHashes.length && letThrough.length === organisationHashes.length
  if (!hasValidNames || !hasCompleteCounts || ![zone, fleet].every((each) => each === undefined || isValidZone(each))) return undefined
  const work = decodeWorkReport(message)
  return {
    host,
    incarnation,
    availabilityZone,
    sequence,
    totals: new Map(organisationHashes.map((hash, index) => [hash, { asked: asked[index] as number, letThrough: letThrough[index] as number }])),
    zone: zone === undefined ? undefined : decodeZoneUsage(zone),
    fleet: fleet === undefined ? undefined : decodeZoneUsage(fleet),
    ...(work === undefined ? {} : { work })
  }
}

const isValidZone = ({ hosts, organisationHashes, letThrough, leaving, askedPerSecond }: ZoneMessage): boolean =>
  hosts <= MAX_HOSTS && [letThrough, leaving, askedPerSecond].every(({ length }) => length === organisationHashes.length) &&
  askedPerSecond.every((value) => Number.isFinite(value) && value >= 0)

const decodeZoneUsage = ({ hosts, unseenMs, organisationHashes, letThrough, leaving, askedPerSecond }: ZoneMessage): ZoneUsage => ({
  hosts,
  unseenMs,
  usageByOrganisation: new Map(organisationHashes.map((hash, index) => [hash, { letThrough: letThrough[index] as number, leavingPerSecond: leaving[index] as number, askedPerSecond: askedPerSecond[index] as number }]))
})
