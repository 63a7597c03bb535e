/** Method and first path part, such as `GET /balances`: few enough to learn a cost for each. */
export function makeRoute (method: string, path: string): string {
  const end = path.slice(1).search(/[/?]/)
  return `${method} ${end === -1 ? path : path.slice(0, end + 1)}`
}
