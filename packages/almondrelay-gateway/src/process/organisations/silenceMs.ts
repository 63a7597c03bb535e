/** Milliseconds without a report after which the usage of a host or a zone is treated as unknown. */
export const SILENCE_MS = 1_500
