/** Timeout, in milliseconds, of a watch call that only requests the changes since a revision and does not wait for new ones. */
export const CATCH_UP_MS = 1
