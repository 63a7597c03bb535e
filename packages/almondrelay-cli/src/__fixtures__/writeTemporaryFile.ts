import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

const folder = mkdtempSync(path.join(tmpdir(), 'almondrelay-'))
process.on('exit', () => rmSync(folder, { recursive: true }))
let count = 0

/** Writes a file for a test and returns its path. The file is deleted when the process exits. */
export function writeTemporaryFile (text: string): string {
  count += 1
  const file = path.join(folder, `${count}.jsonc`)
  writeFileSync(file, text)
  return file
}
