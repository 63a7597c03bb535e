import { HostSettings } from './hostSettings.js'
import { parseSettingsAs } from './parseSettingsAs.js'

/**
 * Parses the settings of a host from JSON with comments.
 *
 * @throws AlmondrelayError of kind `settings-invalid` that lists every problem.
 */
export function parseSettings (file: string, text: string): HostSettings {
  return parseSettingsAs(file, text, HostSettings)
}
