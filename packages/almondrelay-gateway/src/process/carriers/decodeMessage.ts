import { fromBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf'

/** Decodes a message of another host; returns undefined if the bytes aren't one of this kind. */
export function decodeMessage <Desc extends DescMessage> (schema: Desc, bytes: Uint8Array): MessageShape<Desc> | undefined {
  try {
    return fromBinary(schema, bytes)
  } catch {
    return undefined
  }
}
