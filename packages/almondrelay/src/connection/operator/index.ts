export * from './createOperatorApp.js'
export * from './operatorAppOptions.js'
