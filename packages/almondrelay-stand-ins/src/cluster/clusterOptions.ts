import type { Deployment } from '../deployments/deployment.js'
import type { TargetSettings } from '../target/targetSettings.js'

/** How a cluster is started. */
export interface ClusterOptions {
  deployment: Deployment
  /** Ends every program and removes the settings when it aborts. */
  signal: AbortSignal
  /** Puts relays between the zones, with the deployment's one-way times, and before the platform and the targets. */
  relays?: boolean
  /** Groups of daemon settings that replace the defaults. */
  hostSettings?: Record<string, unknown>
  /** Settings of all targets but name, service and slots. */
  targetSettings?: Partial<Omit<TargetSettings, 'name' | 'service' | 'slots' | 'address'>>
  /** Programs that share the targets of an availability zone; 1 where absent. */
  targetProgramsAZone?: number
  /** Drops the daemons' logs, for measurements. */
  isSilent?: boolean
}
