import { deflateRawSync } from 'node:zlib'

/** Bytes from which on a value is compressed: smaller ones, as targets' entries, come often and gain next to nothing. */
const LEAST_DEFLATED_BYTES = 1_000

interface EncodedValue {
  value: Uint8Array
  deflated: boolean
}

/**
 * A value in the form in which it is handed on. A configuration with 80 organisations takes 24 KB as it is written and fits
 * into no datagram; each host of a region then asks the store for it by itself.
 */
export function encodeValue (value: Buffer): EncodedValue {
  return value.byteLength < LEAST_DEFLATED_BYTES ? { value, deflated: false } : { value: deflateRawSync(value), deflated: true }
}
