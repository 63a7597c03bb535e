/** The calls that the platform stand-in counts. */
const PlatformCallKind = {
  get: 'get',
  put: 'put',
  delete: 'delete',
  list: 'list',
  watch: 'watch',
  grantLease: 'grantLease',
  renewLease: 'renewLease',
  releaseLease: 'releaseLease',
  hosts: 'hosts'
} as const

type PlatformCallKind = (typeof PlatformCallKind)[keyof typeof PlatformCallKind]

export { PlatformCallKind }
