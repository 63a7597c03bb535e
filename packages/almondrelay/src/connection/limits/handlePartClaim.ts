import type { ClaimPartsRequest } from 'almondrelay-protocol'
import type { HostSlots } from '../../process/limits/hostSlots.js'
import type { PartClaimAnswer } from '../../process/limits/partClaimAnswer.js'
import type { RosterHost } from '../../process/limits/rosterHost.js'
import { toRosterHost } from './toRosterHost.js'

/** Handles a claim of another member of the zone. The result has the shape of ClaimPartsResponse, with incarnations as bigint. */
export function handlePartClaim (slots: HostSlots, request: ClaimPartsRequest, now: number): ReturnType<typeof encodeAnswer> {
  const sender = toRosterHost(request.sender) ?? { name: '', incarnation: 0 }
  const claim = {
    rosterVersion: request.rosterVersion,
    gone: request.gone.map(({ name, incarnation }) => ({ name, incarnation: Number(incarnation) })),
    parts: request.parts,
    ready: request.ready
  }
  return encodeAnswer(slots.claims.handleClaim(sender, claim, now))
}

function encodeAnswer (answer: PartClaimAnswer) {
  return {
    ...answer,
    from: encodeHost(answer.from),
    gone: answer.gone.map(encodeHost),
    handedOver: answer.handedOver.map((handOver) => ({
      ...handOver,
      grants: handOver.grants.map((grant) => ({ ...grant, to: encodeHost(grant.to), termMs: Math.ceil(grant.termMs), busyMs: Math.ceil(grant.busyMs) }))
    }))
  }
}

function encodeHost ({ name, incarnation }: RosterHost): { name: string, incarnation: bigint } {
  return { name, incarnation: BigInt(incarnation) }
}
