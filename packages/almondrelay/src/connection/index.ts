export * from './operator/index.js'
