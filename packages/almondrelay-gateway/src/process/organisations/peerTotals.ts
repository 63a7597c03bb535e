import { putBounded } from '../../request/putBounded.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import type { UseReport } from './useReport.js'

/** Maximum hosts and organisations kept. Anybody can send datagrams with made-up names, so the maps have to be bounded. */
const MOST_PEERS = 1_000
const MOST_ORGANISATIONS = 20_000
/**
 * Highest sequence number that the first received report of an incarnation may have so that its totals are still counted from zero.
 * Reports before it may have been lost.
 */
const FIRST_REPORTS = 8

interface PeerState {
  incarnation: string
  sequence: number
  heardAt: number
  /** Reports were received from the start of the incarnation, so an organisation that was in none of them had no requests. */
  isKnownFromStart: boolean
  totals: Map<string, UsageTotals>
}

/**
 * The counts that the hosts of this zone have reported, as totals since their start. With totals, the next report makes up for a lost
 * one, and a report that arrives twice adds nothing.
 */
export class PeerTotals {
  private readonly peers = new Map<string, PeerState>()

  /** Returns the increase of each organisation's totals; empty if the report is no newer than the last one from the same incarnation. */
  hear ({ host, incarnation, sequence, totals }: UseReport, now: number): Map<number, UsageTotals> {
    const known = this.peers.get(host)
    const isSameLife = known?.incarnation === incarnation
    if (isSameLife && sequence <= known.sequence) return new Map()
    const peer = isSameLife ? known : { incarnation, sequence, heardAt: now, isKnownFromStart: sequence <= FIRST_REPORTS, totals: new Map<string, UsageTotals>() }
    peer.sequence = sequence
    peer.heardAt = now
    putBounded(this.peers, host, peer, MOST_PEERS)
    return new Map([...totals].flatMap(([organisation, total]) => this.advance(peer, organisation, total)))
  }

  /** Returns the number of hosts whose last report is at most `silenceMs` old. */
  countHeard (now: number, silenceMs: number): number {
    let heard = 0
    for (const { heardAt } of this.peers.values()) if (now - heardAt <= silenceMs) heard += 1
    return heard
  }

  private advance (peer: PeerState, organisation: number, total: UsageTotals): Array<[number, UsageTotals]> {
    const before = peer.totals.get(String(organisation)) ?? (peer.isKnownFromStart ? { asked: 0, letThrough: 0 } : undefined)
    putBounded(peer.totals, String(organisation), total, MOST_ORGANISATIONS)
    return before === undefined ? [] : [[organisation, { asked: total.asked - before.asked, letThrough: total.letThrough - before.letThrough }]]
  }
}
