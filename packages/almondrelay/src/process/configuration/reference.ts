/** A field of a resource that names something else that must exist. */
export interface Reference {
  /** The field, such as `spec.from`. */
  path: string
  to: 'Region' | 'Service' | 'availabilityZone' | 'target'
  name: string
  /** The service of a target. */
  service?: string
  /** Whether what it names may be taken away while it stands, as a drained target may. */
  isLoose: boolean
}
