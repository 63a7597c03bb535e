/** Maximum targets for which something is kept, several times those of the largest fleet; the oldest are dropped. */
export const MAX_TRACKED_TARGETS = 20_000
