/** Wait, in milliseconds, of a watch that only asks what has changed since a revision. */
export const CATCH_UP_MS = 1
