import { deflateRawSync } from 'node:zlib'

/** Bytes from which on a value is compressed: smaller ones, as targets' entries, come often and gain next to nothing. */
const LEAST_DEFLATED_BYTES = 1_000

interface EncodedValue {
  value: Uint8Array
  deflated: boolean
}

/** A value in the form in which it is handed on: compressed where that makes it fit into a datagram. */
export function encodeValue (value: Buffer): EncodedValue {
  return value.byteLength < LEAST_DEFLATED_BYTES ? { value, deflated: false } : { value: deflateRawSync(value), deflated: true }
}
