const DELIMITING_HEADERS = ['content-length', 'transfer-encoding']

/**
 * Whether a head states where its body ends. Without that, the body ends with the connection (RFC 9112, section 6.3).
 *
 * @param rawHeaders names and values, alternating, as `checkLengths` allows them
 */
export function isDelimited (rawHeaders: readonly string[]): boolean {
  return rawHeaders.some((name, index) => index % 2 === 0 && DELIMITING_HEADERS.includes(name.toLowerCase()))
}
