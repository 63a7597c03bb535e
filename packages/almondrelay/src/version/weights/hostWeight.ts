/** Share of new work, 0 to 1, that a caller should send to a host. */
export interface HostWeight {
  host: string
  weight: number
}
