/** A service, its targets over all zones, and the work that callers send to it. */
export interface DeploymentService {
  name: string
  /** Targets over all availability zones; spread evenly, the first zones get the odd ones. */
  targets: number
  slots: number
  connections: number
  /** Mean service time of the stand-ins; the brief names none, so these are the project's own. */
  serviceTimeMs: number
  answerBytes: number
  /** Path of its reads (GET). */
  readPath: string
  /** Path of its non-idempotent writes (POST); a service without one is only read. */
  writePath?: string
  /** Share of the load. */
  share: number
}
