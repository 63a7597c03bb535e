import { putBounded } from '../../request/putBounded.js'
import type { UseTotals } from '../../request/useTotals.js'
import type { UseReport } from './useReport.js'

/** Hosts and organisations that are remembered: anybody may send reports of any name. */
const MOST_PEERS = 1_000
const MOST_ORGANISATIONS = 20_000
/** Reports of a new life that may be lost before the first that is heard: what is in that one still counts from its start. */
const FIRST_REPORTS = 8

interface PeerState {
  incarnation: string
  sequence: number
  heardAt: number
  /** Heard from its start on, so that an organisation that wasn't named before had no requests. */
  isKnownFromStart: boolean
  totals: Map<string, UseTotals>
}

/** What the hosts of this zone have told of their requests, as totals since their start: a report that is lost is made up for by the next, one that comes twice adds nothing. */
export class PeerTotals {
  private readonly peers = new Map<string, PeerState>()

  /** By how much each organisation's totals rose with a report; nothing where it is older than the last one of its sender. */
  hear ({ host, incarnation, sequence, totals }: UseReport, now: number): Map<number, UseTotals> {
    const known = this.peers.get(host)
    const isSameLife = known?.incarnation === incarnation
    if (isSameLife && sequence <= known.sequence) return new Map()
    const peer = isSameLife ? known : { incarnation, sequence, heardAt: now, isKnownFromStart: sequence <= FIRST_REPORTS, totals: new Map<string, UseTotals>() }
    peer.sequence = sequence
    peer.heardAt = now
    putBounded(this.peers, host, peer, MOST_PEERS)
    return new Map([...totals].flatMap(([organisation, total]) => this.advance(peer, organisation, total)))
  }

  /** Hosts that were heard of late. */
  countHeard (now: number, silenceMs: number): number {
    let heard = 0
    for (const { heardAt } of this.peers.values()) if (now - heardAt <= silenceMs) heard += 1
    return heard
  }

  private advance (peer: PeerState, organisation: number, total: UseTotals): Array<[number, UseTotals]> {
    const before = peer.totals.get(String(organisation)) ?? (peer.isKnownFromStart ? { asked: 0, letThrough: 0 } : undefined)
    putBounded(peer.totals, String(organisation), total, MOST_ORGANISATIONS)
    return before === undefined ? [] : [[organisation, { asked: total.asked - before.asked, letThrough: total.letThrough - before.letThrough }]]
  }
}
