import { inflateRawSync } from 'node:zlib'

/** Bytes of the largest value that the platform's store takes; more would be somebody's attempt to fill the memory. */
const MOST_VALUE_BYTES = 1024 * 1024

/** @throws Error where the bytes aren't a compressed value, or too long a one */
export function decodeValue (value: Uint8Array, deflated: boolean): Buffer {
  return deflated ? inflateRawSync(value, { maxOutputLength: MOST_VALUE_BYTES }) : Buffer.from(value)
}
