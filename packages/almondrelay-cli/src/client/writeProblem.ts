import { z } from 'zod'

/** A problem in a resource, as the resource API returns it. */
const WriteProblem = z.looseObject({ path: z.string(), found: z.string(), remedy: z.string() })

type WriteProblem = z.output<typeof WriteProblem>

export { WriteProblem }
