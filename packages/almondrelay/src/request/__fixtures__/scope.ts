/** The targets that one queue serves in a run. */
export interface Scope {
  /** Deployment, service and whether one zone's part or the whole. */
  name: string
  targets: number
  slots: number
  meanMs: number
}
