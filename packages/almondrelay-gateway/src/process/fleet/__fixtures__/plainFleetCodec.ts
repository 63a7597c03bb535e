import type { TargetEntry } from '../../../request/targetEntry.js'
import type { SteeringConfiguration } from '../../../version/steeringConfiguration.js'
import type { SuspectRecord } from '../../quarantine/suspectRecord.js'
import type { StoreEvent } from '../../store/storeEvent.js'
import type { FleetChange } from '../fleetChange.js'
import { FleetCodec } from '../fleetCodec.js'
import type { HostEntry } from '../hostEntry.js'

/** Services in every configuration of the tests. */
const SERVICES = ['balances', 'approvals']

/** Fleet codec with simple keys for tests: `target/ID`, `host/NAME`, `evacuation/ZONE`, `suspect/FINGERPRINT` and `configuration`. */
export class PlainFleetCodec extends FleetCodec {
  override readonly prefixes = ['']
  override readonly productPrefix = 'use/'

  override decode (event: StoreEvent): FleetChange | undefined {
    const [kind, name] = (event.kind === 'written' ? event.item.key : event.key).split('/') as [string, string]
    if (event.kind === 'deleted') return decodeDeletion(kind, name)
    if (kind === 'use') return undefined
    const value: unknown = JSON.parse(event.item.value.toString())
    if (kind === 'target' && (value as { id?: string }).id !== name) return { kind: 'target-unreadable', id: name, key: event.item.key, reason: 'no entry' }
    if (kind === 'target') return { kind: 'target', entry: value as TargetEntry }
    if (kind === 'host') return { kind: 'host', entry: value as HostEntry }
    if (kind === 'suspect') return { kind: 'suspect', record: value as SuspectRecord, revision: event.item.revision }
    if (kind === 'evacuation') return { kind: 'evacuation', availabilityZone: name, isEvacuated: true }
    const document = value as { version: number }
    const configuration: SteeringConfiguration = { version: document.version, routes: [], services: new Map(SERVICES.map((name) => [name, { name, maxConnections: 100, coldStartMs: 0, coldPerSecond: 10 }])), organisations: undefined, limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
    return { kind: 'configuration', configuration }
  }

  override isUnder (): boolean {
    return true
  }

  override findDeletedKey (change: FleetChange): string | undefined {
    if (change.kind === 'target-gone') return `target/${change.id}`
    if (change.kind === 'host-gone') return `host/${change.name}`
    if (change.kind === 'suspect-gone') return `suspect/${change.fingerprint}`
    return change.kind === 'evacuation' && !change.isEvacuated ? `evacuation/${change.availabilityZone}` : undefined
  }

  override encodeHost (entry: HostEntry): { key: string, value: Buffer } {
    return { key: `host/${entry.name}`, value: Buffer.from(JSON.stringify(entry)) }
  }

  override encodeSuspect (record: SuspectRecord): { key: string, value: Buffer } {
    return { key: `suspect/${record.fingerprint}`, value: Buffer.from(JSON.stringify(record)) }
  }
}

const decodeDeletion = (kind: string, name: string): FleetChange | undefined => {
  if (kind === 'target') return { kind: 'target-gone', id: name }
  if (kind === 'host') return { kind: 'host-gone', name }
  if (kind === 'suspect') return { kind: 'suspect-gone', fingerprint: name }
  return kind === 'evacuation' ? { kind: 'evacuation', availabilityZone: name, isEvacuated: false } : undefined
}
