interface PatternShape {
  /** For people. */
  description: string
  requestsPerSecond: number
  seconds: number
  /** Times the usual rate at a second. */
  findRate: (second: number) => number
  /** Part of all targets that are slow, how slow, and between which seconds. */
  slow?: { part: number, slowness: number, from: number, to: number }
  /** Part of the requests that are for one key. */
  hotPart?: number
}

const getUsualRate = (): number => 1

/** Loads that decisions are judged by. Each run begins with targets that remember nothing, as after a restart. */
export const loadPattern = {
  restart: { description: 'a calm load from the moment at which every target and host has started', requestsPerSecond: 240, seconds: 12, findRate: getUsualRate },
  burst: { description: 'twice the load for three seconds', requestsPerSecond: 240, seconds: 16, findRate: (second: number) => second >= 8 && second < 11 ? 2 : 1 },
  overload: { description: 'more than warm targets can do', requestsPerSecond: 900, seconds: 12, findRate: getUsualRate },
  slow: { description: 'a sixth of the targets four times as slow for five seconds', requestsPerSecond: 240, seconds: 16, findRate: getUsualRate, slow: { part: 1 / 6, slowness: 4, from: 6, to: 11 } },
  hotKey: { description: 'a fifth of the requests for one key', requestsPerSecond: 240, seconds: 12, findRate: getUsualRate, hotPart: 0.2 }
} as const satisfies Record<string, PatternShape>
