/** Stands for a result that can't be computed, because the trace begins after the instance was made. */
export const UNKNOWN_STATE = Symbol('unknown state')
