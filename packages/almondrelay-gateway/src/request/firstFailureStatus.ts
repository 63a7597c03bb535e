/** Statuses from here on are failures of the target. */
export const FIRST_FAILURE_STATUS = 500
