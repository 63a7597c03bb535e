import { createRequire } from 'node:module'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

const here = path.dirname(fileURLToPath(import.meta.url))

/** Path of a program of this package or of almondrelay-cli. */
export function resolveProgram (name: 'platform' | 'target' | 'almondrelayd' | 'almondrelay' | 'load' | 'benchForwarder' | 'benchLookup' | 'benchLoad'): string {
  if (name !== 'almondrelayd' && name !== 'almondrelay') return path.join(here, '..', 'bin', `${name}.js`)
  const cli = createRequire(import.meta.url).resolve('almondrelay-cli')
  return path.join(path.dirname(cli), 'bin', `${name}.js`)
}
