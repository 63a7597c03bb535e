import type { z } from 'zod'
import type { resourceSpecs } from './resourceSpecs.js'

type Specs = typeof resourceSpecs

/** A declared resource as of one revision of the configuration. */
export type Resource = {
  [Kind in keyof Specs]: {
    kind: Kind
    name: string
    spec: z.output<Specs[Kind]>
    /** The revision that last changed it. */
    revision: number
  }
}[keyof Specs]
