/** Longest value that is written to the platform: a megabyte as a decimal unit, the stricter reading. */
export const MAX_VALUE_BYTES = 1_000_000
