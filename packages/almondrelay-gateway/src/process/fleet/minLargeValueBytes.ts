/**
 * Length in bytes from which a value counts as large: it takes milliseconds to decode, and does not fit into a datagram beside other
 * changes.
 */
export const MIN_LARGE_VALUE_BYTES = 4_096
