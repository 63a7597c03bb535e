export * from './network/listenApp.js'
export * from './platform/createPlatformApp.js'
export * from './platform/platformFaults.js'
export * from './platform/platformStore.js'
