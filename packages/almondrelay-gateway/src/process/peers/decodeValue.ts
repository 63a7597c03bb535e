import { inflateRawSync } from 'node:zlib'

/** Size of the largest value that the platform's store accepts. A larger one is an attempt to exhaust the host's memory. */
const MAX_VALUE_BYTES = 1024 * 1024

/** @throws Error if the bytes aren't valid deflate data, or decompress to more than MAX_VALUE_BYTES */
export function decodeValue (value: Uint8Array, deflated: boolean): Buffer {
  return deflated ? inflateRawSync(value, { maxOutputLength: MAX_VALUE_BYTES }) : Buffer.from(value)
}
