import { putBounded } from '../../request/putBounded.js'
import type { UsageTotals } from '../../request/usageTotals.js'
import type { UsageReport } from './usageReport.js'

/** Maximum hosts and organisations kept. Anybody can send datagrams with made-up names, so the maps have to be bounded. */
const MAX_PEERS = 1_000
const MAX_ORGANISATIONS = 20_000
/**
 * Highest sequence number that the first received report of an incarnation may have so that its totals are still counted from zero.
 * Reports before it may have been lost.
 */
const MAX_FIRST_SEQUENCE = 8

interface PeerCounts {
  incarnation: string
  sequence: number
  receivedAt: number
  /** Reports were received from the start of the incarnation, so an organisation that was in none of them had no requests. */
  isKnownFromStart: boolean
  totals: Map<string, UsageTotals>
}

/**
 * The counts that the hosts of this zone have reported, as totals since their start. With totals, the next report makes up for a lost
 * one, and a report that arrives twice adds nothing.
 */
export class PeerTotals {
  private readonly peers = new Map<string, PeerCounts>()

  /** Returns the increase of each organisation's totals; empty if the report is no newer than the last one from the same incarnation. */
  receiveReport ({ host, incarnation, sequence, totals }: UsageReport, now: number): Map<number, UsageTotals> {
    const known = this.peers.get(host)
    const isSameIncarnation = known?.incarnation === incarnation
    if (isSameIncarnation && sequence <= known.sequence) return new Map()
    const peer = isSameIncarnation ? known : { incarnation, sequence, receivedAt: now, isKnownFromStart: sequence <= MAX_FIRST_SEQUENCE, totals: new Map<string, UsageTotals>() }
    peer.sequence = sequence
    peer.receivedAt = now
    putBounded(this.peers, host, peer, MAX_PEERS)
    return new Map([...totals].flatMap(([organisation, total]) => this.updateTotals(peer, organisation, total)))
  }

  /** Returns the number of hosts whose last report is at most `silenceMs` old. */
  countRecentPeers (now: number, silenceMs: number): number {
    let count = 0
    for (const { receivedAt } of this.peers.values()) if (now - receivedAt <= silenceMs) count += 1
    return count
  }

  private updateTotals (peer: PeerCounts, organisation: number, total: UsageTotals): Array<[number, UsageTotals]> {
    const previous = peer.totals.get(String(organisation)) ?? (peer.isKnownFromStart ? { asked: 0, letThrough: 0 } : undefined)
    putBounded(peer.totals, String(organisation), total, MAX_ORGANISATIONS)
    return previous === undefined ? [] : [[organisation, { asked: total.asked - previous.asked, letThrough: total.letThrough - previous.letThrough }]]
  }
}
