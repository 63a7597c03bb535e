/** Longest value that is written to the platform: a megabyte of 1,000,000 bytes, the stricter reading. */
export const MAX_VALUE_BYTES = 1_000_000
