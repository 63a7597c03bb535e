/** Bytes of headers around each datagram. */
export const DATAGRAM_OVERHEAD = 28
