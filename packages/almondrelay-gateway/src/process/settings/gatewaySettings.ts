import { z } from 'zod'
import { duration } from './duration.js'

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'write an IPv4 address and a port, such as "10.0.0.2:7000"')

const port = z.int().min(1).max(65_535)

/** Milliseconds; platforms without allowances name no window. */
const PLAIN_ALLOWANCE_WINDOW_MS = 5_000

/** Settings of a host; unknown names are ignored, as a platform may add some. All times are milliseconds once read. */
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
  /** First and last port that hosts may use among themselves; operators call the last. */
  peerPorts: z.tuple([port, port]).refine(([first, last]) => first !== last, 'give two ports: the first for hosts, the last for operators'),
  /** Region of each availability zone. */
  availabilityZones: z.record(z.string(), z.string()),
  platform: z.object({
    address,
    writesPerSecond: z.number().positive(),
    readsPerSecond: z.number().positive(),
    shortestLease: duration
  }),
  bounds: z.object({
    /** Time from the signal to stop until the process is ended by force. */
    stopGrace: duration,
    /** Repeats for each request, and besides, that all hosts may send to a service within the window. */
    retryRatio: z.number().min(0),
    retryExtra: z.number().min(0),
    retryWindow: duration,
    /** Longest time for which callers may keep a look-up answer. */
    longestLookupLife: duration,
    /** Part of a region's requests that may change the region in which they run, from one window of two seconds to the next. */
    shiftPart: z.number().min(0).max(1),
    /** Time within which a host must know that a target takes no new requests. */
    leavingInForce: duration,
    /** Time within which a host must know of a new configuration. */
    configurationInForce: duration,
    /** Window in which an organisation may have its rate and its burst. */
    allowanceWindow: duration.default(PLAIN_ALLOWANCE_WINDOW_MS)
  }),
  /** Port and path of the text page of metrics. */
  metrics: z.object({ port: z.int().min(1).max(65_535), path: z.string().startsWith('/') }),
  log: z.object({ level: z.enum(['debug', 'info', 'warn', 'error']) })
})

type GatewaySettings = z.output<typeof GatewaySettings>

export { GatewaySettings }
