import type { Sender } from 'almondrelay-protocol'
import type { RosterHost } from '../../process/limits/rosterHost.js'

/** The process that a peer message names as its sender. */
export function toRosterHost (sender: Pick<Sender, 'host' | 'incarnation'> | undefined): RosterHost | undefined {
  return sender === undefined ? undefined : { name: sender.host, incarnation: Number(sender.incarnation) }
}
