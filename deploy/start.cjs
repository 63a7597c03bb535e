// Runs the bundle with the V8 code cache that was created at build time. A process that is killed pays the processor time of
// its start again: 74 ms with the code cache and 95 ms without it, of which an empty process takes 38 ms. V8 rejects a cache
// of another V8 version and compiles the code again.
// All functions are compiled, not only those that run at the start. Otherwise the rest is compiled in the second after a
// restart of all hosts, when every caller reconnects and the processor is fully used: in two such seconds 0.46 and 0.57 of the
// requests due were answered in time, and 0.50 and 0.61 with all functions compiled (one day each). The cache file grows from
// 0.9 to 2.5 MB.
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const path = require('node:path')
const { setFlagsFromString } = require('node:v8')
const { Script } = require('node:vm')

const bundle = path.join(__dirname, 'almondrelayd.cjs')
const cache = path.join(__dirname, 'almondrelayd.cache')
/** Command-line option with which the build creates the cache file. */
const MAKE_OPTION = '--make-cache'
/** Milliseconds after which the functions that run at the start are compiled. */
const WARM_UP_MS = 300

const isMaking = process.argv.includes(MAKE_OPTION)
if (isMaking) process.argv = process.argv.filter((argument) => argument !== MAKE_OPTION)
const source = Module.wrap(readFileSync(bundle, 'utf8').replace(/^#!.*/, ''))
const cachedData = !isMaking && existsSync(cache) ? readFileSync(cache) : undefined
// The flag is set only while the script is compiled: V8 rejects a code cache that was created with other flags.
if (isMaking) setFlagsFromString('--no-lazy')
const script = new Script(source, { filename: bundle, cachedData })
if (isMaking) setFlagsFromString('--lazy')
const bundleModule = { exports: {} }
script.runInThisContext()(bundleModule.exports, require, bundleModule, bundle, __dirname)
if (isMaking) setTimeout(() => { writeFileSync(cache, script.createCachedData()) }, WARM_UP_MS)
