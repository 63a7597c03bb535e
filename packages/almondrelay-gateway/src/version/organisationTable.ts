import { NameHashes } from './nameHashes.js'
import type { Organisation } from './organisation.js'

/** Organisations of one configuration version, indexed by key. */
export class OrganisationTable {
  readonly nameHashes: NameHashes
  private readonly byKey = new Map<string, Organisation>()
  private readonly maxPriority: number

  /** @param organisations undefined where the operators declare none, so that callers need no key */
  constructor (private readonly organisations: readonly Organisation[] | undefined) {
    this.nameHashes = new NameHashes(organisations ?? [])
    this.maxPriority = (organisations ?? []).reduce((last, { priority }) => Math.max(last, priority), 0)
    for (const organisation of organisations ?? []) {
      for (const key of organisation.keys) this.byKey.set(key, organisation)
    }
  }

  /** Whether callers must identify themselves. */
  get requiresKeys (): boolean {
    return this.organisations !== undefined
  }

  findByKey (key: string): Organisation | undefined {
    return this.byKey.get(key)
  }

  list (): readonly Organisation[] {
    return this.organisations ?? []
  }

  /**
   * Computes the priority of a request relative to all requests: 0 for the most urgent, 1 for the least urgent. The rank of the
   * organisation takes precedence, so that its least urgent route is still served before the most urgent one of an organisation
   * with a lower rank.
   *
   * @param relativeRoutePriority the priority of the request's route relative to all routes
   */
  computeRelativePriority (organisation: Organisation | undefined, relativeRoutePriority: number): number {
    if (organisation === undefined) return relativeRoutePriority
    return (organisation.priority + relativeRoutePriority) / (this.maxPriority + 1)
  }
}
