import { z } from 'zod'

/** The log line that a host that runs the gateway writes for each request once it is answered. */
const RequestLine = z.looseObject({
  time: z.string(),
  host: z.string(),
  msg: z.enum(['request', 'request rejected', 'request refused']),
  id: z.string(),
  route: z.string().optional(),
  /** Version of the configuration that chose the route. */
  version: z.number().optional(),
  /** Organisation whose key the request carried. */
  organisation: z.string().optional(),
  /** Share of the organisation's requests that the host admitted. */
  allowedPart: z.number().optional(),
  /** Milliseconds of work a second: the organisation's share of the overloaded service, and what it asked for. */
  shareMs: z.number().optional(),
  askedMs: z.number().optional(),
  /** Milliseconds since the oldest of the counts that the share was computed from. */
  snapshotAgeMs: z.number().optional(),
  key: z.string().optional(),
  service: z.string().optional(),
  /** Home region of the key. */
  homeRegion: z.string().optional(),
  attempts: z.array(z.object({
    target: z.string(),
    region: z.string(),
    rank: z.number(),
    outstanding: z.number(),
    expectedMs: z.number(),
    /** Requests per second that the target stated that it takes from all hosts together. */
    requestLimit: z.number().optional(),
    /** Factor by which the target's work takes longer by its last statement, faded with its age, and that age in milliseconds. */
    statedSlowness: z.number().optional(),
    statedAgeMs: z.number().optional(),
    /** Host by way of which the request was sent; absent if it was sent directly. */
    carrier: z.string().optional(),
    /** Whether the attempt was sent while another one was running, so as to be answered on time. */
    isCopy: z.boolean().optional(),
    result: z.string(),
    ms: z.number()
  })).default([]),
  /** Why no copy was sent to a second target when it was due. */
  withheldCopy: z.string().optional(),
  outcome: z.string().optional(),
  status: z.number().optional(),
  reason: z.string().optional(),
  /** Identifies the request; present where a target gave no complete answer or the request is quarantined. */
  fingerprint: z.string().optional(),
  ms: z.number().optional()
})

type RequestLine = z.output<typeof RequestLine>

export { RequestLine }
