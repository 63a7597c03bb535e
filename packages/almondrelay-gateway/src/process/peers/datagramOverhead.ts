/** Bytes of the IP and UDP headers of a datagram. */
export const DATAGRAM_OVERHEAD = 28
