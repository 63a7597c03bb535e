/** Maximum part of a caller's time left after which a request that is refused under overload may be told to come back. */
export const MAX_RETRY_AFTER_SHARE = 1 / 3
