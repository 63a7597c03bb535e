import { inflateRawSync } from 'node:zlib'
import { MAX_VALUE_BYTES } from '../store/maxValueBytes.js'

/** @throws Error if the bytes aren't valid deflate data, or decompress to more than MAX_VALUE_BYTES */
export function decodeValue (value: Uint8Array, deflated: boolean): Buffer {
  return deflated ? inflateRawSync(value, { maxOutputLength: MAX_VALUE_BYTES }) : Buffer.from(value)
}
