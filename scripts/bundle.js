// Builds what hosts run into a folder, `target` unless another one is named: the bundled daemon, its code cache with start.cjs,
// and its startup snapshot.
import { execFileSync } from 'node:child_process'
import { cpSync, readFileSync } from 'node:fs'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const root = fileURLToPath(new URL('../', import.meta.url))
const folder = path.resolve(process.argv[2] ?? path.join(root, 'target'))
const place = (file) => path.join(folder, file)

/** Leaves out modules that hosts don't use and that cost time at the start: optional ones of bunyan, and parts of prom-client. */
const leaveOutUnused = {
  name: 'leave-out-unused',
  setup (bundler) {
    bundler.onResolve({ filter: /^(dtrace-provider|mv|moment|source-map-support)$/ }, ({ path: id }) => ({ path: id, namespace: 'unused' }))
    bundler.onResolve({ filter: /^\.\/lib\/(defaultMetrics|pushgateway|cluster)$/ }, ({ path: id, importer }) => importer.includes('prom-client') ? { path: id, namespace: 'unused' } : undefined)
    // bunyan goes without a module that can't be loaded. prom-client must load its modules, and only their use fails.
    bundler.onLoad({ filter: /^\./, namespace: 'unused' }, ({ path: id }) => ({ contents: `module.exports = class { constructor () { throw new Error('${id} is left out of the bundle') } }` }))
    bundler.onLoad({ filter: /^\w/, namespace: 'unused' }, ({ path: id }) => ({ contents: `throw new Error('${id} is left out of the bundle')` }))
  }
}

await build({
  entryPoints: [path.join(root, 'platform/dist/bin/almondrelayd.js')],
  bundle: true,
  platform: 'node',
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  plugins: [leaveOutUnused],
  logLevel: 'warning',
  outfile: place('almondrelayd.cjs')
})
for (const file of ['start.cjs', 'snapshot.cjs']) cpSync(path.join(root, 'deploy', file), place(file))

// V8 rejects a code cache or a snapshot that was created with other flags than those with which hosts run it.
const run = /^run = "node (.*)"$/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1]
const flags = run.split(' ').filter((part) => part.startsWith('--') && !part.startsWith('--snapshot-blob='))
// Without the environment of the build, which would get into the snapshot.
const runNode = (args) => { execFileSync(process.execPath, ['--no-warnings', ...flags, ...args], { stdio: 'inherit', env: {} }) }
runNode([place('start.cjs'), '--make-cache', '--check', '--settings', path.join(root, 'deploy/check.jsonc')])
runNode([`--snapshot-blob=${place('almondrelayd.blob')}`, '--build-snapshot', place('snapshot.cjs')])
