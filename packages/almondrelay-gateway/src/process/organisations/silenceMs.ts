/** Milliseconds of silence after which what a host or a zone lets through counts as unknown. */
export const SILENCE_MS = 1_500
