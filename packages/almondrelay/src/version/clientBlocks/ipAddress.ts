import type { AddressFamily } from './addressFamily.js'

/**
 * An IP address in the parts by which the table is indexed: the chunk (first 8 bits of IPv4,
 * first 16 of IPv6) and the key within it (next 24 or 48 bits), both represented exactly as a double.
 */
export interface IpAddress {
  family: AddressFamily
  chunk: number
  key: number
  /** The last 64 bits of IPv6, as two numbers of 32 bits; 0 for IPv4. */
  lowHigh: number
  lowLow: number
}
