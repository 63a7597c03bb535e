export * from './caller/createCallerApp.js'
export * from './listenForHttp.js'
export * from './operator/index.js'
export * from './peer/createPeerHandlers.js'
