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

/** Settings of one entry host; every default stands here. */
const HostSettings = z.strictObject({
  host: z.strictObject({ name: ResourceName, region: ResourceName, availabilityZone: ResourceName }),
  listen: z.strictObject({
    caller: Address,
    peer: Address,
    operator: Address
  }),
  platform: z.strictObject({
    /** Base of the platform's service, by IP number. */
    url: z.url({ protocol: /^https?$/ }),
    timeoutMs: Milliseconds.default(1_000)
  }),
  /** Hosts to ask first; others are learnt from them and from the platform's host list. */
  peers: z.array(PeerSettings).max(1_000).default([]),
  peering: z.strictObject({
    heartbeatMs: Milliseconds.default(250),
    /** Silence after which a peer gets no new work. */
    suspectAfterMs: Milliseconds.default(1_000)
  }).prefault({}),
  requests: z.strictObject({
    /** Requests that wait at this host for one service. */
    maxQueued: z.number().int().min(1).max(100_000).default(256),
    /** Entries of the journal of non-idempotent requests. */
    maxJournalEntries: z.number().int().min(1).max(5_000_000).default(50_000),
    /** How long the journal keeps an answer. */
    journalRetentionMs: Milliseconds.default(120_000),
    /**
     * Longest deadline of a request; the same on every host. After a host has ended, its targets' slots
     * stay unused for so long, as its last work may still run on them.
     */
    maxDeadlineMs: Milliseconds.default(10_000)
  }).prefault({}),
  lookups: z.strictObject({ ttlMs: Milliseconds.default(2_000) }).prefault({}),
  shutdown: z.strictObject({
    /** A planned stop ends after this long even with requests in flight; they are named in the log. */
    limitMs: Milliseconds.default(30_000)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
    /** Log every call to the decision modules, so that `almondrelay replay` can run them again. */
    replay: z.boolean().default(false)
  }).prefault({}),
  metrics: z.strictObject({
    /** Address of a StatsD receiver; none where absent. */
    statsd: Address.optional(),
    prefix: z.string().regex(/^[a-z0-9_.]*$/).default('almondrelay.')
  }).prefault({})
})

type HostSettings = z.infer<typeof HostSettings>

export { HostSettings }
