export * from './buildRequestPath.js'
export * from './plainModules.js'
export * from './batchedOutput.js'
