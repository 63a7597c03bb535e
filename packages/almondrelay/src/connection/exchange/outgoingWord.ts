import type { HostSummary, LeavingTarget, Sender } from 'almondrelay-protocol'

/** What a request and a response of an exchange have alike, and how far the news in it goes. */
export interface OutgoingWord {
  word: { sender: Sender, revision: bigint, hosts: HostSummary[], leavingTargets: LeavingTarget[] }
  revision: number
  upTo: number
  /** Hosts of the backlog that are left once this has arrived. */
  backlogLeft: number
  upToTargets: number
}
