// Fakes for the tests of packages that use this library.
export * from './process/platform/__fixtures__/fakeClock.js'
export * from './process/platform/__fixtures__/fakePlatform.js'
export * from './connection/__fixtures__/crowd.js'
export * from './connection/__fixtures__/readProcessUsage.js'
export * from './connection/__fixtures__/makeTestGuard.js'
export * from './connection/__fixtures__/spoiltHeads.js'
export * from './connection/__fixtures__/spoiltServer.js'
