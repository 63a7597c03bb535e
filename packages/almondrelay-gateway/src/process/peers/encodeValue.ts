import { deflateRawSync } from 'node:zlib'

/** Minimum size at which a value is compressed. Smaller values, such as targets' entries, are frequent and compress hardly at all. */
const MIN_DEFLATED_BYTES = 1_000

interface EncodedValue {
  value: Uint8Array
  deflated: boolean
}

/** Encodes a value for a datagram, compressed if it has at least MIN_DEFLATED_BYTES, so that long values fit too. */
export function encodeValue (value: Buffer): EncodedValue {
  return value.byteLength < MIN_DEFLATED_BYTES ? { value, deflated: false } : { value: deflateRawSync(value), deflated: true }
}
