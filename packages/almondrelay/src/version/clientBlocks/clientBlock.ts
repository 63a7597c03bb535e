import type { IpNumber } from './ipNumber.js'

/** A prefix of IP addresses and the region nearest to its callers. */
export interface ClientBlock {
  /** First address of the prefix. */
  start: IpNumber
  /** Prefix length in bits. */
  length: number
  /** Number of the region in the table that holds the block, from 1. */
  site: number
}
