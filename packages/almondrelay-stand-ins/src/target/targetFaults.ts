import { z } from 'zod'

/** Fault switches of a target stand-in; each PUT replaces them all, and an absent one is off. */
const TargetFaults = z.strictObject({
  slowFactor: z.number().min(0).default(1),
  /** Accepts connections and requests, health probes too, and never answers; runs nothing. */
  silent: z.boolean().default(false),
  /** Runs the request and never answers it. */
  silentAfterRun: z.boolean().default(false),
  /** Closes the port: new connections are refused, open ones end. Lifted through the program's control port. */
  refuse: z.boolean().default(false),
  /** Runs the request and ends the connection in the middle of the body. */
  truncateBody: z.boolean().default(false),
  /** Runs the request and ends the connection before the answer. */
  closeBeforeAnswer: z.boolean().default(false),
  /** Runs the request and states a length shorter than the body that it sends. */
  wrongLength: z.boolean().default(false),
  /** Sends the last answer on a connection again when the next request arrives there. */
  repeatAnswer: z.boolean().default(false),
  /** Leaves the id of the sending out of its answers. */
  withholdSendId: z.boolean().default(false),
  /** Bytes of the answer's body, whatever was asked. */
  oversizedAnswer: z.number().int().min(1).optional(),
  /** Resets the connection so long after a request began to run. */
  resetAfterMs: z.number().min(0).optional(),
  /** Sheds every request. */
  shed: z.boolean().default(false),
  /** Status of the answers of requests that were run. */
  status: z.number().int().min(200).max(599).default(200),
  /** The load that health reports. */
  lieAboutLoad: z.number().optional(),
  /** Whether health reports the target healthy. */
  healthy: z.boolean().default(true),
  /** Health says that the target is leaving; it still runs what it gets, and counts it. */
  leaving: z.boolean().default(false),
  healthLagMs: z.number().min(0).optional(),
  /** Requests that meet the faults of answers, after which these lapse; all where absent. */
  times: z.number().int().min(1).optional()
})

type TargetFaults = z.infer<typeof TargetFaults>

export { TargetFaults }
