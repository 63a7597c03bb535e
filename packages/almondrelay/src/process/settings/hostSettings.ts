import { z } from 'zod'
import { ResourceName } from '../../version/resources/resourceName.js'
import { TargetSpec } from '../../version/resources/targetSpec.js'

const Address = TargetSpec.shape.address
const Milliseconds = z.number().int().min(1).max(3_600_000)

const PeerSettings = z.strictObject({
  name: ResourceName,
  region: ResourceName,
  availabilityZone: ResourceName,
  peer: Address
})

/** Settings of one entry host, with all default values. */
const HostSettings = z.strictObject({
  host: z.strictObject({ name: ResourceName, region: ResourceName, availabilityZone: ResourceName }),
  listen: z.strictObject({
    caller: Address,
    peer: Address,
    operator: Address
  }),
  platform: z.strictObject({
    /** Base URL of the platform's service, with an IP address as its host. */
    url: z.url({ protocol: /^https?$/ }),
    timeoutMs: Milliseconds.default(1_000)
  }),
  /** Hosts to contact first; further hosts are discovered through them and the platform's host list. */
  peers: z.array(PeerSettings).max(1_000).default([]),
  peering: z.strictObject({
    heartbeatMs: Milliseconds.default(250),
    /** Time without a report after which a peer is sent no new requests. */
    suspectAfterMs: Milliseconds.default(1_000)
  }).prefault({}),
  requests: z.strictObject({
    /** Maximum number of requests that wait at this host for one service. */
    maxQueued: z.number().int().min(1).max(100_000).default(256),
    /** Maximum number of entries in the journal of non-idempotent requests. */
    maxJournalEntries: z.number().int().min(1).max(5_000_000).default(50_000),
    /** Time for which the journal keeps an answer. */
    journalRetentionMs: Milliseconds.default(120_000),
    /**
     * Maximum deadline of a request; must be equal on all hosts. After a host has ended, its targets' slots
     * stay unused for this time, since its last requests may still run on them.
     */
    maxDeadlineMs: Milliseconds.default(10_000)
  }).prefault({}),
  limits: z.strictObject({
    /** Memory that the process may take, in MB: clients of its ports may hold shares of it. */
    memoryMb: z.number().int().min(1).default(1_024),
    /** Descriptors that the process may open. */
    maxDescriptors: z.number().int().min(1).default(4_096)
  }).prefault({}),
  lookups: z.strictObject({ ttlMs: Milliseconds.default(2_000) }).prefault({}),
  shutdown: z.strictObject({
    /** Time after which a planned stop ends even with requests in flight; the log names these requests. */
    limitMs: Milliseconds.default(30_000)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
    /** Logs every call to the decision modules, so that `almondrelay replay` can repeat it. */
    replay: z.boolean().default(false)
  }).prefault({}),
  metrics: z.strictObject({
    /** Address of a StatsD receiver; no metrics are sent when absent. */
    statsd: Address.optional(),
    prefix: z.string().regex(/^[a-z0-9_.]*$/).default('almondrelay.')
  }).prefault({})
})

type HostSettings = z.infer<typeof HostSettings>

export { HostSettings }
