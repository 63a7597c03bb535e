import type { PlainAnswer } from '../../connection/plainAnswer.js'
import type { FleetState } from '../fleet/fleetState.js'
import type { EventLog } from '../observe/eventLog.js'
import type { PeerView } from '../peers/peerView.js'
import { listEntryHosts } from './listEntryHosts.js'
import type { LookupCodec } from './lookupCodec.js'

/**
 * Maximum milliseconds for which a caller may cache an answer, even if the platform allows more, so that callers soon stop using a host
 * that exits.
 */
const MAX_ANSWER_TTL_MS = 2_000

interface AnswerParts {
  codec: LookupCodec
  fleet: FleetState
  view: PeerView
  ownRegion: string
  maxTtlMs: number
  log: EventLog
  getNow: () => number
  isLeaving: () => boolean
}

/** Answers look-ups and the platform's readiness checks. */
export class LookupAnswers {
  constructor (private readonly parts: AnswerParts) {}

  /** Returns whether this host serves: it has a configuration, knows the targets and its peers, and isn't leaving. */
  isReady (): boolean {
    const { fleet, isLeaving } = this.parts
    return fleet.isComplete && fleet.configuration !== undefined && !isLeaving()
  }

  answerReadiness (path: string): Promise<PlainAnswer> {
    if (path !== this.parts.codec.readinessPath) return Promise.resolve(makeAnswer(404, ''))
    return Promise.resolve(makeAnswer(this.isReady() ? 200 : 503, ''))
  }

  answerLookup (path: string, query: URLSearchParams): Promise<PlainAnswer> {
    const { codec, fleet, view, ownRegion, maxTtlMs, log, getNow } = this.parts
    if (path !== codec.lookupPath) return Promise.resolve(makeAnswer(404, ''))
    if (!fleet.isComplete) return Promise.resolve(makeAnswer(503, ''))
    const region = codec.decodeRegion(query) ?? ownRegion
    const hosts = listEntryHosts(view.listLive(getNow()), region)
    log.record('look-up', { region, hosts: hosts.map(({ name }) => name) })
    if (hosts.length === 0) return Promise.resolve(makeAnswer(503, ''))
    return Promise.resolve(makeAnswer(200, codec.encodeHosts(hosts, Math.min(MAX_ANSWER_TTL_MS, maxTtlMs))))
  }
}

const makeAnswer = (status: number, body: string): PlainAnswer => ({ status, type: 'application/json', body })
