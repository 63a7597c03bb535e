import type { IpNumber } from './ipNumber.js'

/** A prefix of IP numbers and the site that its callers are nearest to. */
export interface ClientBlock {
  /** Its first number. */
  start: IpNumber
  /** Bits that are fixed. */
  length: number
  /** Number of the site in the table that holds the block; from 1. */
  site: number
}
