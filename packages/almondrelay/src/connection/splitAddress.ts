interface AddressParts {
  host: string
  port: number
}

/** Splits an address such as `10.0.0.7:8080` or `[::1]:8080` into host and port. */
export function splitAddress (address: string): AddressParts {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
