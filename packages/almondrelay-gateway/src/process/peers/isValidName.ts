/** Maximum length of a host's, zone's or region's name in characters; no host sends a longer one. */
const MAX_NAME_LENGTH = 200

/** Whether a report may contain such a name of a host, zone or region. */
export const isValidName = (name: string): boolean => name.length > 0 && name.length <= MAX_NAME_LENGTH
