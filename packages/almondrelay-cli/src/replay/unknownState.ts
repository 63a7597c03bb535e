/** Stands for a result that can't be computed: the trace begins after the instance was created, or the call is unknown. */
export const UNKNOWN_STATE = Symbol('unknown state')
