/** Share of the latency target that is kept for the way between caller and host, which the host doesn't see. */
const CALLER_SHARE = 0.1

/** Returns the milliseconds from a request's arrival within which a host must answer it for the caller to have the answer on time. */
export const computeObjective = (targetLatencyMs: number): number => targetLatencyMs * (1 - CALLER_SHARE)
