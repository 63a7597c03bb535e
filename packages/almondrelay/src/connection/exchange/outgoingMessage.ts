import type { HostSummary, LeavingTarget, Sender } from 'almondrelay-protocol'

/** Fields common to the request and the response of an exchange, and the numbers of the last updates in it. */
export interface OutgoingMessage {
  message: { sender: Sender, revision: bigint, hosts: HostSummary[], leavingTargets: LeavingTarget[] }
  revision: number
  upTo: number
  /** Hosts of the backlog that are left once this has arrived. */
  backlogLeft: number
  upToTargets: number
}
