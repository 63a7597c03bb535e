import { Configuration, ConfigurationStore, type Change, type Resource } from 'almondrelay'
import type { CapacitySection } from './capacitySection.js'
import { measureMs } from './measureMs.js'
import { targetSize } from './targetSize.js'

const TARGETS = [16, 256, 4_096, 12_000]
const RESOURCES = [100, 1_000, 4_000, 12_000]
const DAY_S = 86_400

/** Size of a change, and time to put it in force on one host. */
export function measureConfiguration (): CapacitySection {
  const bytes = TARGETS.map((targets) => ({ x: targets, y: JSON.stringify(makeChange(1, targets)).length }))
  const adopt = TARGETS.map((targets) => ({ x: targets, y: measureMs(() => { new ConfigurationStore().adoptChange(makeChange(1, targets)) }) }))
  const apply = RESOURCES.map((count) => {
    const configuration = Configuration.restore(count, Array.from({ length: count }, (_, index) => ({ ...makeService(4), name: `service-${index}` })))
    return { x: count, y: measureMs(() => { configuration.apply(makeChange(count + 1, 4)) }) }
  })
  const perSecond = targetSize.changesPerDay / DAY_S
  const bytesOf256 = bytes.find(({ x }) => x === 256)?.y ?? 0
  return {
    title: 'Configuration changes',
    slopes: [
      { what: 'a change of a Service', xName: 'targets', unit: 'bytes', points: bytes },
      { what: 'time to adopt it, with encoding', xName: 'targets', unit: 'ms', points: adopt },
      { what: 'time of the next revision', xName: 'resources held', unit: 'ms', points: apply }
    ],
    products: [
      { what: 'changes a second at 19,000 a day', value: perSecond, unit: '1/s', limit: targetSize.platformWritesPerSecond },
      { what: 'bytes a second of changes of Services with 256 targets, received once and passed on once', value: perSecond * bytesOf256 * 2, unit: 'bytes/s', limit: targetSize.controlBytesPerSecond },
      { what: 'share of a core for revisions over 12,000 resources', value: perSecond * (apply.at(-1)?.y ?? 0) / 1_000, unit: 'core', limit: targetSize.coreShare }
    ]
  }
}

const makeService = (targets: number): Resource => ({
  kind: 'Service',
  name: 'balances',
  revision: 1,
  spec: {
    targets: Array.from({ length: targets }, (_, index) => ({ name: `balances-akl-a-${index}`, address: `10.1.${index >> 8}.${index & 255}:9000`, availabilityZone: 'akl-a', slots: 6, connections: 360 })),
    routes: [],
    maxBodyBytes: 1_048_576,
    defaultDeadlineMs: 10_000,
    healthPath: '/health'
  }
})

const makeChange = (revision: number, targets: number): Change => ({ revision, writeId: '7d0f0a52-6a3c-4f0e-9b93-0d8f2a3f6f11', author: 'operator', writtenAt: 1_790_000_000_000, action: 'put', resource: makeService(targets) })
