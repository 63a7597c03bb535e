/** Milliseconds for opening a connection, on top of two round trips; a target that takes longer is considered unreachable. */
const CONNECT_TIMEOUT_MS = 300

/** Computes the milliseconds within which a connection to a target must be open. */
export function computeConnectTimeout (roundTripMs: number): number {
  return CONNECT_TIMEOUT_MS + 2 * roundTripMs
}
