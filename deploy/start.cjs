// Runs the bundle with the code that V8 compiled when it was built. A process that is killed is charged all of
// its start again; without the compiled code the start takes a quarter more processor time (95 ms, 74 with it, of
// which an empty process takes 38). Code of another version of V8 is refused by V8 itself and compiled anew.
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const path = require('node:path')
const { Script } = require('node:vm')

const bundle = path.join(__dirname, 'almondrelayd.cjs')
const cache = path.join(__dirname, 'almondrelayd.cache')
/** Set while the cache is built: the file to write it to. */
const MAKE_OPTION = '--make-cache'
/** Milliseconds for the functions of the start to have been compiled. */
const WARM_UP_MS = 300

const isMaking = process.argv.includes(MAKE_OPTION)
if (isMaking) process.argv = process.argv.filter((argument) => argument !== MAKE_OPTION)
const source = Module.wrap(readFileSync(bundle, 'utf8').replace(/^#!.*/, ''))
const cachedData = !isMaking && existsSync(cache) ? readFileSync(cache) : undefined
const script = new Script(source, { filename: bundle, cachedData })
const bundleModule = { exports: {} }
script.runInThisContext()(bundleModule.exports, require, bundleModule, bundle, __dirname)
if (isMaking) setTimeout(() => { writeFileSync(cache, script.createCachedData()) }, WARM_UP_MS)
