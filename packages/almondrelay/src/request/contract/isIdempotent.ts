import type { ServiceSpec } from '../../version/resources/serviceSpec.js'

/** Idempotent methods of RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'])

/** Whether running the request twice has the same effect as once: by the service's first matching rule, else by the method. */
export function isIdempotent (service: ServiceSpec, method: string, path: string): boolean {
  const rule = service.routes.find((each) => each.method === method && path.startsWith(each.pathPrefix))
  return rule?.idempotent ?? IDEMPOTENT_METHODS.has(method)
}
