import { z } from 'zod'

/** What is wrong in a resource, as the resource API says it. */
const WriteProblem = z.looseObject({ path: z.string(), found: z.string(), remedy: z.string() })

type WriteProblem = z.output<typeof WriteProblem>

export { WriteProblem }
