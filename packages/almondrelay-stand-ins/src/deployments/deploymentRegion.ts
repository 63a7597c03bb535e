/** A region with its availability zones and the entry hosts in each. */
export interface DeploymentRegion {
  name: string
  availabilityZones: Array<{ name: string, hosts: number }>
  /** Prefix of its clients' addresses. */
  clientBlock: string
}
