import { getEventRevision } from '../../store/getEventRevision.js'
import type { StoreEvent } from '../../store/storeEvent.js'
import type { StoreItem } from '../../store/storeItem.js'

interface StoreCopy {
  revision: number
  items: ReadonlyMap<string, StoreItem>
}

/** State of the platform's store, which the hosts of a model share. */
export class ModelStore {
  era = 1
  revision = 1
  isDown = false
  /** Number of pages listed. */
  pages = 0
  private items = new Map<string, StoreItem>()
  private events: StoreEvent[] = []

  write (key: string, value: object): void {
    this.revision += 1
    const item = { key, value: Buffer.from(JSON.stringify(value)), revision: this.revision, createdRevision: this.items.get(key)?.createdRevision ?? this.revision }
    this.items.set(key, item)
    this.events.push({ kind: 'written', item })
  }

  remove (key: string): void {
    if (!this.items.delete(key)) return
    this.revision += 1
    this.events.push({ kind: 'deleted', key, revision: this.revision })
  }

  read (key: string): string | undefined {
    return this.items.get(key)?.value.toString()
  }

  listItems (): StoreItem[] {
    return [...this.items.values()].sort((one, other) => one.key < other.key ? -1 : 1)
  }

  /** Returns undefined for a revision that the store doesn't have. */
  listEvents (afterRevision: number): StoreEvent[] | undefined {
    return afterRevision > this.revision ? undefined : this.events.filter((event) => getEventRevision(event) > afterRevision)
  }

  copy (): StoreCopy {
    return { revision: this.revision, items: new Map(this.items) }
  }

  returnFrom ({ revision, items }: StoreCopy): void {
    this.era += 1
    this.revision = revision
    this.items = new Map(items)
    this.events = this.events.filter((event) => getEventRevision(event) <= revision)
  }
}
