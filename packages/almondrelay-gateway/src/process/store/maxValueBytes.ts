/** Length in bytes of the largest value that the platform's store accepts. A longer one is an attempt to exhaust the host's memory. */
export const MAX_VALUE_BYTES = 1024 * 1024
