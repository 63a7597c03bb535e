// Fakes for tests of what is built on this library.
export * from './process/platform/__fixtures__/fakeClock.js'
export * from './process/platform/__fixtures__/fakePlatform.js'
