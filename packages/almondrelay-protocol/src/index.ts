export * from './gen/almondrelay/peer/v1/peer_pb.js'
