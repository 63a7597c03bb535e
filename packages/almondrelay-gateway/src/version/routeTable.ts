import { NameHashes } from './nameHashes.js'
import type { Route } from './route.js'

/** Routes of one configuration version, indexed by host name and path prefix. */
export class RouteTable {
  readonly nameHashes: NameHashes
  private readonly prefixesByHost = new Map<string, Map<string, Route>>()
  private readonly maxPriority: number

  constructor (routes: readonly Route[]) {
    this.nameHashes = new NameHashes(routes)
    this.maxPriority = routes.reduce((last, { priority }) => Math.max(last, priority), 0)
    for (const route of routes) {
      const prefixes = this.prefixesByHost.get(route.hostName) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.prefixesByHost.set(route.hostName, prefixes)
    }
  }

  /** Computes the priority of a route relative to all routes: 0 for the most urgent, 1 for the least urgent. */
  computeRelativePriority ({ priority }: Route): number {
    return this.maxPriority === 0 ? 0 : priority / this.maxPriority
  }

  /**
   * Finds the route with the longest prefix that matches the path. The cost depends on the number of slashes in the path and not
   * on the number of routes, so that a lookup is as fast in a version with thousands of routes.
   */
  findRoute (hostName: string, path: string): Route | undefined {
    const prefixes = this.prefixesByHost.get(hostName)
    if (prefixes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}
