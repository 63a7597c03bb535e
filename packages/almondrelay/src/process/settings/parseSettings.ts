import { HostSettings } from './hostSettings.js'
import { parseSettingsAs } from './parseSettingsAs.js'

/**
 * The settings of a host in a text of JSON with comments.
 *
 * @throws AlmondrelayError of kind `settings-invalid` that lists every problem.
 */
export function parseSettings (file: string, text: string): HostSettings {
  return parseSettingsAs(file, text, HostSettings)
}
