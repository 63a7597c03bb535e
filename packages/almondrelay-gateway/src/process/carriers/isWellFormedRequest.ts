import type { CarryRequest } from 'almondrelay-protocol'

const METHOD = /^[A-Za-z-]{1,32}$/
const URL = /^\/[^\s]*$/
const LINE_BREAK = /[\r\n\0]/

/** Whether the head of a request that another host sends can be written to a target as it stands. */
export function isWellFormedRequest ({ method, url, headers }: Pick<CarryRequest, 'method' | 'url' | 'headers'>): boolean {
  return METHOD.test(method) && URL.test(url) && headers.length % 2 === 0 && !headers.some((text) => LINE_BREAK.test(text))
}
