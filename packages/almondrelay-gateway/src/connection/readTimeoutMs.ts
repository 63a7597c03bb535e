/** Milliseconds within which an answer must have been read: twice as long as any caller waits for one. */
export const READ_TIMEOUT_MS = 30_000
