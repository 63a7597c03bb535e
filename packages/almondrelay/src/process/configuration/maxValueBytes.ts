/** Longest value that is written to the platform: a megabyte, counted the stricter way. */
export const MAX_VALUE_BYTES = 1_000_000
