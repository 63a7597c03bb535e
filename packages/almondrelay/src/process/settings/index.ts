export * from './hostSettings.js'
