import { z } from 'zod'

const MS_PER_SECOND = 1_000
/** Longest delay in milliseconds that timers keep; they run at once after a longer one. */
const MAX_MS = 2 ** 31 - 1

/** A duration such as `1500ms` or `2.5s`, parsed into milliseconds. */
export const duration = z.string().regex(/^\d+(\.\d+)?(ms|s)$/, 'write a number and its unit, "ms" or "s", such as "1500ms"')
  .transform((text) => text.endsWith('ms') ? Number(text.slice(0, -2)) : Number(text.slice(0, -1)) * MS_PER_SECOND)
  .refine((ms) => ms <= MAX_MS, `write a duration of at most ${MAX_MS} ms`)
