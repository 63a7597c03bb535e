import { findLaterPosition } from '../store/findLaterPosition.js'
import { getEventRevision } from '../store/getEventRevision.js'
import type { StoreEvent } from '../store/storeEvent.js'
import type { StoreItem } from '../store/storeItem.js'
import type { StorePosition } from '../store/storePosition.js'
import { dropSupersededValues } from './dropSupersededValues.js'
import type { FleetState } from './fleetState.js'
import { LargeValues } from './largeValues.js'
import type { RelayedChanges } from './relayedChanges.js'
import type { RelayedEvent } from './relayedEvent.js'

interface RelayParts {
  fleet: FleetState
  /** Whether this host is one of the watchers of its region, and the other hosts rely on them. */
  isWatcher: () => boolean
  isReliedOn: () => boolean
  /** Sends changes to the other hosts of the region. */
  relay: (changes: RelayedChanges) => void
}

/** Relays notable changes to the hosts that rely on this one, and decodes those that others relay. */
export class ChangeRelay {
  private readonly values = new LargeValues()

  constructor (private readonly parts: RelayParts) {}

  /**
   * Relays changes, if other hosts rely on this one.
   *
   * @param after a host whose state includes this position has missed no notable change before these
   * @param upTo position up to which a host knows all notable changes once it has applied these; of the same era
   */
  relay (after: StorePosition, upTo: StorePosition, events: readonly StoreEvent[]): void {
    const { fleet, isReliedOn, isWatcher, relay } = this.parts
    if (events.length === 0) return
    const hasUnreadableRevision = events.some((event) => getEventRevision(event) <= after.revision || getEventRevision(event) > upTo.revision)
    // The other hosts would ignore such changes. They query the store, as this host's notable position is then ahead of theirs.
    if (hasUnreadableRevision) fleet.notablePosition = findLaterPosition(fleet.notablePosition, upTo)
    else if (isReliedOn() && isWatcher()) relay({ after, upTo, events: events.map((event) => this.values.encode(event)), forwardTo: [] })
  }

  /** Returns undefined if any of the changes is a difference from a value that this host does not have. */
  decode (events: readonly RelayedEvent[]): StoreEvent[] | undefined {
    const decoded = events.map((event) => this.values.decode(event))
    return decoded.includes(undefined) ? undefined : decoded as StoreEvent[]
  }

  /** Records the values of changes, from which the differences of later ones are made. */
  recordEvents (events: readonly StoreEvent[]): void {
    this.recordItems(dropSupersededValues(events).flatMap((event) => event.kind === 'written' ? event.item : []))
  }

  recordItems (items: readonly StoreItem[]): void {
    for (const item of items) this.values.record(item)
  }

  /** Forgets all values, as the store has returned from a copy. */
  clear (): void {
    this.values.clear()
  }
}
