export * from './clientClosure.js'
export * from './clientGuardParts.js'
export * from './clientLimits.js'
export * from './createClientServer.js'
