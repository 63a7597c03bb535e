import type { UseReport as Message, ZoneUse as ZoneMessage } from 'almondrelay-protocol'
import type { UseReport } from './useReport.js'
import type { ZoneUse } from './zoneUse.js'

/** Bytes of a name; longer ones aren't ours. */
const LONGEST_NAME = 200
/** Hosts of the largest fleet, twice over: more can't be in a sum. */
const MOST_HOSTS = 10_000

/** What a host tells of the organisations' requests; undefined where it can't be a host's word: a number that isn't finite would spoil every sum. */
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
