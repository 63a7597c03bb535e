/** The kinds of resource that operators declare. */
const ResourceKind = {
  service: 'Service',
  region: 'Region',
  link: 'Link',
  steeringPolicy: 'SteeringPolicy',
  drain: 'Drain',
  shiftCap: 'ShiftCap'
} as const

type ResourceKind = (typeof ResourceKind)[keyof typeof ResourceKind]

export { ResourceKind }
