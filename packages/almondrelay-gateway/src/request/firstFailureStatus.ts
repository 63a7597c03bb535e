/** Lowest status that counts as a failure of the target. */
export const FIRST_FAILURE_STATUS = 500
