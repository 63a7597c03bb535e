/** Makes an operator's configuration of one host name with the given routes. */
export const makeConfiguration = ({ version = 7, routes, limits = {}, tenants }) => ({
  version: version.toString(16).padStart(8, '0'),
  limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms', ...limits },
  listeners: [{
    host: 'a.example',
    rule_set: routes.map(({ name, kind, prefix, service, timeout = '2500ms', latency = '400ms', attempts = 2, regions = [], priority = 1 }) => ({
      name,
      kind,
      target_latency: latency,
      priority,
      session_affinity: true,
      match: { path_prefix: prefix },
      action: { service, timeout, max_attempts: attempts, allowed_regions: regions }
    }))
  }],
  clusters: [...new Set(routes.map(({ service }) => service))].map((name) => ({ name, health_path: '/health', max_conns: 360, protocol: 'h1', tls: false, cold_start: '3s', cold_per_s: 14 })),
  ...(tenants === undefined ? {} : { tenants })
})
