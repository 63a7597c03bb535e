export * from './clientBlocks.js'
export * from './parseIp.js'
export * from './parsePrefix.js'
