import { z } from 'zod'

/** A line that a host of the users' platform writes for each request, when it has its answer. */
const RequestLine = z.looseObject({
  time: z.string(),
  host: z.string(),
  msg: z.enum(['request', 'request rejected', 'request refused']),
  id: z.string(),
  route: z.string().optional(),
  /** Version of the configuration that chose the route. */
  version: z.number().optional(),
  /** Whose key it came with. */
  organisation: z.string().optional(),
  /** Part of the organisation's requests that the host let through. */
  allowedPart: z.number().optional(),
  key: z.string().optional(),
  service: z.string().optional(),
  /** Region in which the key has its place. */
  homeRegion: z.string().optional(),
  attempts: z.array(z.object({
    target: z.string(),
    region: z.string(),
    rank: z.number(),
    outstanding: z.number(),
    expectedMs: z.number(),
    result: z.string(),
    ms: z.number()
  })).default([]),
  outcome: z.string().optional(),
  status: z.number().optional(),
  reason: z.string().optional(),
  /** What was asked, where a target gave no whole answer or the request is quarantined. */
  fingerprint: z.string().optional(),
  ms: z.number().optional()
})

type RequestLine = z.output<typeof RequestLine>

export { RequestLine }
