/**
 * Makes a route name from the method and the first path segment, such as `GET /balances`; there are few enough routes
 * to measure the cost of each.
 */
export function makeRoute (method: string, path: string): string {
  const end = path.slice(1).search(/[/?]/)
  return `${method} ${end === -1 ? path : path.slice(0, end + 1)}`
}
