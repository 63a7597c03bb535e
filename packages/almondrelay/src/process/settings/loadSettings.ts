import { readFile } from 'node:fs/promises'
import { AlmondrelayError } from '../errors/almondrelayError.js'
import { ErrorKind } from '../errors/errorKind.js'
import type { HostSettings } from './hostSettings.js'
import { parseSettings } from './parseSettings.js'

/**
 * Loads the settings of a host from a file.
 *
 * @throws AlmondrelayError of kind `settings-invalid` when the file can't be read or a setting in it
 * is invalid, unknown or missing.
 */
export async function loadSettings (file: string): Promise<HostSettings> {
  const text = await readFile(file, 'utf8').catch((error: Error) => {
    throw new AlmondrelayError({ kind: ErrorKind.settingsInvalid, message: `${file} can't be read (${error.message})`, remedy: 'name a readable file with --settings', cause: error })
  })
  return parseSettings(file, text)
}
