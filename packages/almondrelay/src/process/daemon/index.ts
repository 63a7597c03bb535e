export * from './buildRequestPath.js'
export * from './plainModules.js'
