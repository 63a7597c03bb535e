// Builds a V8 startup snapshot of the loaded bundle: a process then starts without evaluating the bundle. It needs the same
// flags and the same Node.js as the build. The program itself runs in the snapshot's main function, see almondrelayd.ts.
//
// The state of the snapshot is the same on all hosts and at all starts. Therefore the clocks and Math.random throw while the
// bundle is loaded, and so does each built-in module that is not in PURE_MODULES. These modules are loaded at their first use:
// Node.js 20 can't put node:http into a snapshot, and others would keep random values, file descriptors or the host's name.
const { readFileSync } = require('node:fs')
const path = require('node:path')
const { startupSnapshot } = require('node:v8')
const { compileFunction } = require('node:vm')

/** Built-in modules that hold no state of a process. */
const PURE_MODULES = ['assert', 'events', 'node:events', 'node:path', 'node:process', 'node:stream', 'node:util', 'stream', 'util']
/** Built-in modules that the bundle loads where they are used. */
const LAZY_MODULES = ['fs', 'node:child_process', 'node:crypto', 'node:dgram', 'node:dns', 'node:fs', 'node:http', 'node:http2', 'node:net', 'node:os', 'node:perf_hooks', 'node:zlib', 'os']
/** What differs between processes and must not be read while the bundle is loaded. */
const GUARDED = [[Math, 'random'], [Date, 'now'], [performance, 'now'], [performance, 'timeOrigin'], [process, 'hrtime'], [process, 'uptime'], [process, 'cwd'], [process, 'pid'], [globalThis, 'crypto']]

let isLoading = true
const checkLoaded = (name) => {
  if (isLoading) throw new Error(`${name} is used while the snapshot is built; use it in a function that runs later`)
}

const requireLazily = (id) => {
  if (PURE_MODULES.includes(id)) return require(id)
  if (id === 'node:v8') return { startupSnapshot }
  if (!LAZY_MODULES.includes(id)) throw new Error(`name ${id} in snapshot.cjs, as a module that is loaded at its first use or that holds no state`)
  let loaded
  const load = (name) => {
    checkLoaded(`${id}.${String(name)}`)
    loaded ??= require(id)
    return loaded
  }
  return new Proxy({}, { get: (_, name) => load(name)[name], has: (_, name) => name in load(name) })
}

const bundle = path.join(__dirname, 'almondrelayd.cjs')
const run = compileFunction(readFileSync(bundle, 'utf8').replace(/^#!.*/, ''), ['exports', 'require', 'module', '__filename', '__dirname'], { filename: bundle })
const bundleModule = { exports: {} }
const originals = GUARDED.map(([owner, name]) => Object.getOwnPropertyDescriptor(owner, name))
const OriginalDate = Date
globalThis.Date = new Proxy(OriginalDate, {
  construct: (target, args, newTarget) => {
    if (args.length === 0) checkLoaded('new Date()')
    return Reflect.construct(target, args, newTarget)
  },
  apply: (target, self, args) => {
    checkLoaded('Date()')
    return Reflect.apply(target, self, args)
  }
})
for (const [owner, name] of GUARDED) Object.defineProperty(owner, name, { configurable: true, get: () => checkLoaded(name) })
run(bundleModule.exports, requireLazily, bundleModule, bundle, __dirname)
for (const [index, [owner, name]] of GUARDED.entries()) {
  if (originals[index] === undefined) delete owner[name]
  else Object.defineProperty(owner, name, originals[index])
}
globalThis.Date = OriginalDate
isLoading = false
