import type { ClaimPartsResponse, RosterHost as RosterHostMessage } from 'almondrelay-protocol'
import type { PartClaimAnswer } from '../../process/limits/partClaimAnswer.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'

/** Decodes a peer's answer to a claim. An answer that names no sender gets the empty host name, which matches no host of the roster. */
export function toPartClaimAnswer (response: ClaimPartsResponse): PartClaimAnswer {
  return {
    from: toHost(response.from),
    rosterVersion: response.rosterVersion,
    gone: response.gone.map(toHost),
    binding: response.binding,
    held: response.held,
    handedOver: response.handedOver.map((handOver) => ({
      part: handOver.part,
      toAsker: handOver.toAsker,
      grants: handOver.grants.map(({ id, to, amount, limit, termMs, busyMs }) => ({ id, to: toHost(to), amount, limit, termMs, busyMs }))
    }))
  }
}

function toHost (host: RosterHostMessage | undefined): RosterHost {
  return { name: host?.name ?? '', incarnation: Number(host?.incarnation ?? 0) }
}
