import type { UseReport as Message, ZoneUse as ZoneMessage } from 'almondrelay-protocol'
import type { UseReport } from './useReport.js'
import type { ZoneUse } from './zoneUse.js'

/** Maximum length of a host's or zone's name. Reports with longer names are rejected, as they can't come from a host. */
const LONGEST_NAME = 200
/** Twice the number of hosts of the largest fleet. A sum over more hosts can't be genuine. */
const MOST_HOSTS = 10_000

/**
 * Decodes a report of organisations' requests. Returns undefined if a host can't have sent it, for example because a rate isn't finite:
 * such a rate would make every sum that includes it useless.
 */
export function decodeUseReport (message: Message): UseReport | undefined {
  const { host, incarnation, availabilityZone, sequence, organisationHashes, asked, letThrough, zone, fleet } = message
  const areNamed = [host, availabilityZone].every((name) => name.length > 0 && name.length <= LONGEST_NAME)
  const areWhole = asked.length === organisationHashes.length && letThrough.length === organisationHashes.length
  if (!areNamed || !areWhole || ![zone, fleet].every((each) => each === undefined || isMeasured(each))) return undefined
  return {
    host,
    incarnation,
    availabilityZone,
    sequence,
    totals: new Map(organisationHashes.map((hash, index) => [hash, { asked: asked[index] as number, letThrough: letThrough[index] as number }])),
    zone: zone === undefined ? undefined : decodeZone(zone),
    fleet: fleet === undefined ? undefined : decodeZone(fleet)
  }
}

const isMeasured = ({ hosts, organisationHashes, letThrough, leaving, askedPerSecond }: ZoneMessage): boolean =>
  hosts <= MOST_HOSTS && [letThrough, leaving, askedPerSecond].every(({ length }) => length === organisationHashes.length) &&
  askedPerSecond.every((value) => Number.isFinite(value) && value >= 0)

const decodeZone = ({ hosts, unseenMs, organisationHashes, letThrough, leaving, askedPerSecond }: ZoneMessage): ZoneUse => ({
  hosts,
  unseenMs,
  uses: new Map(organisationHashes.map((hash, index) => [hash, { letThrough: letThrough[index] as number, leavingPerSecond: leaving[index] as number, askedPerSecond: askedPerSecond[index] as number }]))
})
