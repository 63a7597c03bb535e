import { create, toBinary } from '@bufbuild/protobuf'
import { PeerDatagramSchema, type PeerDatagram } from 'almondrelay-protocol'

export function encodeDatagram (content: PeerDatagram['content']): Uint8Array {
  return toBinary(PeerDatagramSchema, create(PeerDatagramSchema, { content }))
}
