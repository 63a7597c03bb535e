import type { Sender } from 'almondrelay-protocol'
import type { RosterHost } from '../../process/limits/rosterHost.js'

/** Returns the name and incarnation of a message's sender; undefined if the message has none. */
export function toRosterHost (sender: Pick<Sender, 'host' | 'incarnation'> | undefined): RosterHost | undefined {
  return sender === undefined ? undefined : { name: sender.host, incarnation: Number(sender.incarnation) }
}
