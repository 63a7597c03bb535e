export * from './fleet/index.js'
export * from './matrix/cells.js'
