export * from './exchange/index.js'
export * from './operator/index.js'
export * from './peer/createPeerHandlers.js'
