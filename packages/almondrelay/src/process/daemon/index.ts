export * from './buildRequestPath.js'
