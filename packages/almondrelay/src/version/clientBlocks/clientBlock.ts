import type { IpAddress } from './ipAddress.js'

/** A prefix of IP addresses and the region nearest to its callers. */
export interface ClientBlock {
  /** First address of the prefix. */
  start: IpAddress
  /** Prefix length in bits. */
  length: number
  /** Number of the region in the table that holds the block, from 1. */
  regionNumber: number
}
