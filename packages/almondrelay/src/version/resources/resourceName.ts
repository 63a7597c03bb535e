import { z } from 'zod'

const NAME = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/

/** Name of a resource, region, availability zone, host, target or service. */
export const ResourceName = z.string().regex(NAME, 'use 1 to 63 lower-case letters, digits, dots or hyphens, with a letter or digit at both ends')
