/** Maximum size of an answer in bytes; a longer one is dropped, so that a single target can't exhaust the host's memory. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024
