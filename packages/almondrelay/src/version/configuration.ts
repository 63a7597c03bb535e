import type { Change } from './resources/change.js'
import type { Resource } from './resources/resource.js'
import type { ResourceKind } from './resources/resourceKind.js'

type ResourceOf<Kind extends ResourceKind> = Extract<Resource, { kind: Kind }>

/** The resources of one revision of the configuration; immutable. */
export class Configuration {
  static readonly empty = new Configuration(0, new Map())

  private constructor (readonly revision: number, private readonly resources: ReadonlyMap<string, Resource>) {}

  /** Restores a configuration from a snapshot. */
  static restore (revision: number, resources: readonly Resource[]): Configuration {
    return new Configuration(revision, new Map(resources.map((resource) => [makeKey(resource.kind, resource.name), resource])))
  }

  /** Returns the next revision; undefined unless the change directly follows this revision. */
  apply (change: Change): Configuration | undefined {
    if (change.revision !== this.revision + 1) return undefined
    const resources = new Map(this.resources)
    if (change.action === 'put') resources.set(makeKey(change.resource.kind, change.resource.name), { ...change.resource, revision: change.revision })
    else resources.delete(makeKey(change.kind, change.name))
    return new Configuration(change.revision, resources)
  }

  /** Returns this revision with additional resources that are declared outside the configuration. */
  withExternal (external: readonly Resource[]): Configuration {
    if (external.length === 0) return this
    const resources = new Map(this.resources)
    for (const resource of external) resources.set(makeKey(resource.kind, resource.name), resource)
    return new Configuration(this.revision, resources)
  }

  get<Kind extends ResourceKind> (kind: Kind, name: string): ResourceOf<Kind> | undefined {
    return this.resources.get(makeKey(kind, name)) as ResourceOf<Kind> | undefined
  }

  list<Kind extends ResourceKind> (kind: Kind): ResourceOf<Kind>[] {
    return [...this.resources.values()].filter((resource): resource is ResourceOf<Kind> => resource.kind === kind)
  }

  listAll (): Resource[] {
    return [...this.resources.values()]
  }
}

const makeKey = (kind: ResourceKind, name: string): string => `${kind}/${name}`
