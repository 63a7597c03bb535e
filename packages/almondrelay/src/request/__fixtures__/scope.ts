/** The targets served by one queue in a simulation. */
export interface Scope {
  /** Deployment, service, and whether the targets are those of one zone or all. */
  name: string
  targets: number
  slots: number
  meanMs: number
}
