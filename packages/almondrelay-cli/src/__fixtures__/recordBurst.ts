import { CallRecorder, choosePlacement, computeLookupAnswer, createSeededRandom, DecisionKind, RecordedAdmissionQueue, RecordedTargetChooser, type Decision, type LookupAnswer, type PlacementInput, type QueuedRequest } from 'almondrelay'

const TARGETS = ['a', 'b', 'c'].map((name) => ({ name, address: '10.0.0.1:1', availabilityZone: 'akl-a', slots: 2, connections: 10 }))
const ZONE = { region: 'akl', availabilityZone: 'akl-a', freeSlots: 3, slots: 6, ageMs: 0, draining: false, reachable: true, latencyMs: 1 }
const PLACEMENT: PlacementInput = { service: 'balances', ownZone: 'akl-a', ownRegion: 'akl', callerRegion: 'akl', weights: { akl: 3, wlg: 1 }, spill: true, zones: [ZONE, { ...ZONE, region: 'wlg', availabilityZone: 'wlg-a', latencyMs: 20 }], caps: [], remainingMs: 900, costMs: 5 }

/** Runs a small burst of requests through the real decision modules in virtual time, and returns a log line for every call. */
export function recordBurst (seed: number): string[] {
  const lines: string[] = []
  const random = createSeededRandom(seed)
  const record = (decision: Decision): void => { lines.push(JSON.stringify({ time: new Date(lines.length).toISOString(), host: 'akl-a-1', ...decision })) }
  const makeRecorder = (kind: DecisionKind, instance: string): CallRecorder => new CallRecorder({ kind, instance, random, record })
  const queue = new RecordedAdmissionQueue({ maxQueued: 10 }, makeRecorder(DecisionKind.admission, 'akl-a-1/1/balances'))
  const chooser = new RecordedTargetChooser(makeRecorder(DecisionKind.choice, 'akl-a-1/1/balances'))
  const placement = makeRecorder(DecisionKind.placement, '')
  const lookup = makeRecorder(DecisionKind.lookup, '')
  chooser.adoptTargets(TARGETS, 0)
  const running: Array<{ request: QueuedRequest, target: string, endsAt: number, startedAt: number }> = []
  let answer: LookupAnswer | undefined
  const startAll = (requests: QueuedRequest[], now: number): void => {
    for (const request of requests) {
      const choice = chooser.choose(new Map(TARGETS.map(({ name }) => [name, 2 - running.filter((each) => each.target === name).length])), new Set(), now, random)
      if (choice === undefined) queue.finish(request, undefined, now)
      else running.push({ request, target: choice.target, startedAt: now, endsAt: now + 5 + random() * 30 })
      if (choice !== undefined) chooser.start(choice.target, now)
    }
  }
  for (let now = 0; now < 400; now += 3) {
    const previous = answer
    if (now % 60 === 0) answer = lookup.run({ call: 'computeLookupAnswer', requestId: '', given: [LOOKUP, previous, now] }, () => computeLookupAnswer(LOOKUP, previous, now, lookup.random))
    for (const ended of running.filter((each) => each.endsAt <= now)) {
      running.splice(running.indexOf(ended), 1)
      chooser.finish(ended.target, { latencyMs: now - ended.startedAt, ok: random() < 0.9 }, now)
      queue.finish(ended.request, now - ended.startedAt, now)
    }
    startAll(queue.take(6 - running.length, 6, now).start, now)
    for (let arrival = 0; arrival < 3; arrival += 1) {
      const request = { id: `r${now}.${arrival}`, caller: `c${(now + arrival) % 4}`, key: '', route: 'GET /x', deadlineAt: now + 60, arrivedAt: now }
      placement.run({ call: 'choosePlacement', requestId: request.id, given: [PLACEMENT, now] }, () => choosePlacement(PLACEMENT, now, placement.random))
      if (queue.offer(request, 6 - running.length, 6, now).kind === 'start') startAll([request], now)
    }
  }
  return lines
}

const LOOKUP = { hosts: ['akl-a-1', 'akl-a-2'].map((name, index) => ({ name, region: 'akl', freeSlots: 3 + index, slots: 6, ageMs: 50, leaving: false, reachable: true })), ttlMs: 200 }
