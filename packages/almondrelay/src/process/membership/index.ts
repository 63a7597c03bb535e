export * from './member.js'
export * from './memberState.js'
