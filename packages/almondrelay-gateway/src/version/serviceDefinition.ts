/** What the operators declare for a service; its targets register themselves. */
export interface ServiceDefinition {
  name: string
  /** Connections that one target accepts from all hosts together. */
  maxConnections: number
  /** Milliseconds for which a target stays cold after its start. */
  coldStartMs: number
  /** Requests a second that a cold target can take from all hosts together. */
  coldPerSecond: number
}
