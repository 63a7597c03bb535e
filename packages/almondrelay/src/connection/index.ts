export * from './limits/index.js'
export * from './operator/index.js'
