/** What the clients of one port may hold together. */
export interface ClientLimits {
  /** Connections that are open at the same time. */
  maxConnections: number
  /** Bytes of memory for requests that have been read and not answered, and for requests that have been read in part. */
  maxHeldBytes: number
  /** Whether bodies of requests count too, for which each connection is paced from the start. Otherwise the code that reads them counts them. */
  includesBodies: boolean
}
