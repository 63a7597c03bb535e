/** Parses the target of a request in origin or absolute form (RFC 9112, section 3.2); undefined if it is neither. */
export function parseRequestTarget (target: string): URL | undefined {
  // A path with two slashes at its beginning would be resolved as an address without a scheme.
  const isOriginForm = target.startsWith('/') && !target.startsWith('//')
  const url = isOriginForm ? `http://host${target}` : target
  return URL.canParse(url) && (isOriginForm || url.startsWith('http://')) ? new URL(url) : undefined
}
