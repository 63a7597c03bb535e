// Fakes for the tests of packages that use this library.
export * from './process/platform/__fixtures__/fakeClock.js'
export * from './process/platform/__fixtures__/fakePlatform.js'
