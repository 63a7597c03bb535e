import { z } from 'zod'
import { duration } from './duration.js'

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'write an IPv4 address and a port, such as "10.0.0.2:7000"')

const port = z.int().min(1).max(65_535)

/** Milliseconds; used when the settings name no window, as on platforms without allowances. */
const DEFAULT_ALLOWANCE_WINDOW_MS = 5_000

/** Milliseconds between a target's heartbeats; used when the settings state none. */
const DEFAULT_HEARTBEAT_MS = 1_500

/** Used when the settings state no limit. */
const DEFAULT_MEMORY_MB = 256
const DEFAULT_MAX_DESCRIPTORS = 4_096

/** Settings of a host. Unknown names are ignored, because the platform may add some. Durations are parsed into milliseconds. */
const GatewaySettings = z.object({
  host: z.object({
    name: z.string().min(1),
    ip: z.string().min(7),
    availabilityZone: z.string().min(1),
    region: z.string().min(1)
  }),
  listen: z.object({
    callers: address,
    readiness: address,
    lookups: address
  }),
  /** First and last port of the range for traffic among hosts: hosts use the first, operators call the last. */
  peerPorts: z.tuple([port, port]).refine(([first, last]) => first !== last, 'give two ports: the first for hosts, the last for operators'),
  /** Region of each availability zone. */
  availabilityZones: z.record(z.string(), z.string()),
  platform: z.object({
    address,
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
    shortestLease: duration,
    /** Time between the heartbeats by which a target keeps its entry in the store. */
    targetHeartbeat: duration.default(DEFAULT_HEARTBEAT_MS)
  }),
  limits: z.object({
    /** Memory of the process in MB, above which the platform kills it. */
    memoryMb: z.number().positive().default(DEFAULT_MEMORY_MB),
    /** Descriptors that the process may open. */
    maxDescriptors: z.int().positive().default(DEFAULT_MAX_DESCRIPTORS)
  }).default({ memoryMb: DEFAULT_MEMORY_MB, maxDescriptors: DEFAULT_MAX_DESCRIPTORS }),
  bounds: z.object({
    /** Time from the stop signal until the process is killed. */
    stopGrace: duration,
    /**
     * Retries that all hosts together may send to a service within `retryWindow`: `retryRatio` for each request, plus
     * `retryExtra`.
     */
    retryRatio: z.number().min(0),
    retryExtra: z.number().min(0),
    retryWindow: duration,
    /** Maximum time for which callers may cache a look-up answer. */
    longestLookupLife: duration,
    /** Maximum share of a region's requests that may move to another region from one two-second window to the next. */
    shiftPart: z.number().min(0).max(1),
    /** Time within which every host must know that a target accepts no new requests. */
    leavingInForce: duration,
    /** Time within which every host must know a new configuration. */
    configurationInForce: duration,
    /** Window over which the allowance of an organisation, its rate and its burst, is counted. */
    allowanceWindow: duration.default(DEFAULT_ALLOWANCE_WINDOW_MS)
  }),
  /**
   * Whether organisations get fair shares of a service that is overloaded: their ranks first, then max-min shares of the work. Otherwise
   * whoever comes first is served.
   */
  fairShares: z.boolean().default(false),
  /** Port and path at which the metrics are served in the Prometheus text format. */
  metrics: z.object({ port: z.int().min(1).max(65_535), path: z.string().startsWith('/') }),
  log: z.object({ level: z.enum(['debug', 'info', 'warn', 'error']) })
})

type GatewaySettings = z.output<typeof GatewaySettings>

export { GatewaySettings }
