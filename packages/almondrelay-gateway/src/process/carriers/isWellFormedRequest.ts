import type { CarryRequest } from 'almondrelay-protocol'

const METHOD_PATTERN = /^[A-Za-z-]{1,32}$/
const URL_PATTERN = /^\/[^\s]*$/
const LINE_BREAK = /[\r\n\0]/

/** Whether the head of a request that another host sends can be written to a target as it stands. */
export function isWellFormedRequest ({ method, url, headers }: Pick<CarryRequest, 'method' | 'url' | 'headers'>): boolean {
  return METHOD_PATTERN.test(method) && URL_PATTERN.test(url) && headers.length % 2 === 0 && !headers.some((text) => LINE_BREAK.test(text))
}
