import type { Organisation } from './organisation.js'

/** Organisations of one configuration version, indexed by key. */
export class OrganisationTable {
  private readonly byKey = new Map<string, Organisation>()
  private readonly lastPriority: number

  /** @param organisations undefined where the operators name none, so that callers need no key */
  constructor (private readonly organisations: readonly Organisation[] | undefined) {
    this.lastPriority = (organisations ?? []).reduce((last, { priority }) => Math.max(last, priority), 0)
    for (const organisation of organisations ?? []) {
      for (const key of organisation.keys) this.byKey.set(key, organisation)
    }
  }

  /** Whether callers have to identify themselves. */
  get areKeysNeeded (): boolean {
    return this.organisations !== undefined
  }

  findByKey (key: string): Organisation | undefined {
    return this.byKey.get(key)
  }

  list (): readonly Organisation[] {
    return this.organisations ?? []
  }

  /**
   * Place of a request's rank among all: 0 for the most urgent, 1 for the least. The rank of the organisation goes first, so
   * that its least urgent route still goes before the most urgent one of an organisation with a lower rank.
   *
   * @param routePatience the same of its route among all routes
   */
  computePatience (organisation: Organisation | undefined, routePatience: number): number {
    if (organisation === undefined) return routePatience
    return (organisation.priority + routePatience) / (this.lastPriority + 1)
  }
}
