// Runs the bundle with the code that V8 compiled when it was built. A process that is killed is charged all of
// its start again; without the compiled code the start takes a quarter more processor time (95 ms, 74 with it, of
// which an empty process takes 38). Code of another version of V8 is refused by V8 itself and compiled anew.
// All functions are compiled, not only those of the start: the others were compiled in the second after a restart of all
// hosts, when every caller connects again and the processor is full (answers in time in two such seconds 0.46 and 0.57 of
// what was owed, with this 0.50 and 0.61; one day each). The file grows from 0.9 to 2.5 MB.
const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const path = require('node:path')
const { setFlagsFromString } = require('node:v8')
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
// The flag stands only while the script is compiled: V8 refuses compiled code of a process with other flags.
if (isMaking) setFlagsFromString('--no-lazy')
const script = new Script(source, { filename: bundle, cachedData })
if (isMaking) setFlagsFromString('--lazy')
const bundleModule = { exports: {} }
script.runInThisContext()(bundleModule.exports, require, bundleModule, bundle, __dirname)
if (isMaking) setTimeout(() => { writeFileSync(cache, script.createCachedData()) }, WARM_UP_MS)
