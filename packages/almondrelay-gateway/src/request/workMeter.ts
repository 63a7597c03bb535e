import type { ClassWork } from './classWork.js'
import { DecayingRate } from './decayingRate.js'
import { putBounded } from './putBounded.js'
import type { ShareInput } from './shareInput.js'
import type { WorkSums } from './workSums.js'

/** Maximum organisations and routes that are metered for one service; the one that was added first is dropped. */
const MAX_CLASSES = 200
/** Milliseconds of work a second below which an organisation or route is left out of the sums. */
const MIN_RATE_MS = 1

class ClassMeter {
  readonly asked = new DecayingRate()
  readonly admitted = new DecayingRate()
  priority = 0
}

/** Meters the work that this host's callers ask of one service. */
export class WorkMeter {
  private readonly organisations = new Map<number, ClassMeter>()
  private readonly routes = new Map<number, ClassMeter>()
  private readonly sent = new DecayingRate()
  private readonly requests = new DecayingRate()
  private readonly turnedAway = new DecayingRate()

  /** @param workMs expected work on the request */
  observeRequest (input: ShareInput, workMs: number, isAdmitted: boolean, now: number): void {
    for (const meter of [findOrCreate(this.organisations, input.organisation, input.organisationPriority), findOrCreate(this.routes, input.route, input.routePriority)]) {
      meter.asked.add(workMs, now)
      if (isAdmitted) meter.admitted.add(workMs, now)
    }
  }

  /** Records what became of an admitted request. */
  observeAdmitted (workMs: number, wasSent: boolean, wasTurnedAway: boolean, now: number): void {
    this.requests.add(1, now)
    if (wasSent) this.sent.add(workMs, now)
    if (wasTurnedAway) this.turnedAway.add(1, now)
  }

  describe (now: number): WorkSums {
    return { organisations: describeClasses(this.organisations, now), routes: describeClasses(this.routes, now), sentMs: this.sent.estimate(now), requestsPerSecond: this.requests.estimate(now), turnedAwayPerSecond: this.turnedAway.estimate(now) }
  }
}

const findOrCreate = (meters: Map<number, ClassMeter>, hash: number, priority: number): ClassMeter => {
  const known = meters.get(hash)
  const meter = known ?? new ClassMeter()
  meter.priority = priority
  if (known === undefined) putBounded(meters, hash, meter, MAX_CLASSES)
  return meter
}

const describeClasses = (meters: ReadonlyMap<number, ClassMeter>, now: number): Map<number, ClassWork> => {
  const works = new Map<number, ClassWork>()
  for (const [hash, { priority, asked, admitted }] of meters) {
    const askedMs = asked.estimate(now)
    if (askedMs >= MIN_RATE_MS) works.set(hash, { priority, askedMs, admittedMs: admitted.estimate(now) })
  }
  return works
}
