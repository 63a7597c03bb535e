export * from './common/exitCode.js'
