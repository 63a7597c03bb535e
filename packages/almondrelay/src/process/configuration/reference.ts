/** A field of a resource that names another object, which must exist. */
export interface Reference {
  /** The field, such as `spec.from`. */
  path: string
  to: 'Region' | 'Service' | 'availabilityZone' | 'target'
  name: string
  /** The service of a target. */
  service?: string
  /** Whether the named object may be removed while the reference exists, as a drained target may. */
  isLoose: boolean
}
