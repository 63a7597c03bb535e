import { z } from 'zod'
import { TargetSpec } from './targetSpec.js'

const RouteRule = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/, 'write the method in capitals, such as POST'),
  pathPrefix: z.string().startsWith('/', 'begin the path with /'),
  idempotent: z.boolean()
})

/** A service and its targets in every availability zone. */
const ServiceSpec = z.strictObject({
  targets: z.array(TargetSpec).max(20_000).superRefine((targets, context) => {
    const seen = new Set<string>()
    targets.forEach((target, index) => {
      if (seen.has(target.name)) context.addIssue({ code: 'custom', path: [index, 'name'], message: `'${target.name}' stands twice; give each target a name of its own` })
      seen.add(target.name)
    })
  }),
  /** Exceptions to the idempotence of methods in RFC 9110, section 9.2.2; the first matching rule applies. */
  routes: z.array(RouteRule).max(1000).default([]),
  /** Maximum body size of a request or an answer, in bytes. */
  maxBodyBytes: z.number().int().min(1).max(16_777_216).default(1_048_576),
  /** Deadline of requests without one, in milliseconds. */
  defaultDeadlineMs: z.number().int().min(1).max(600_000).default(10_000),
  /** Path of the targets' health endpoint. */
  healthPath: z.string().startsWith('/').default('/health')
})

type ServiceSpec = z.infer<typeof ServiceSpec>

export { ServiceSpec }
