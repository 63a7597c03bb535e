/** An entry host of a cluster with its place and addresses, before it runs. */
export interface HostPlan {
  name: string
  region: string
  availabilityZone: string
  caller: string
  peer: string
  operator: string
}
