/** Queue of the events of one request, which the task that runs the request takes one at a time. */
export class EventQueue<Event> {
  private readonly events: Event[] = []
  private notify: (() => void) | undefined

  push (event: Event): void {
    this.events.push(event)
    this.notify?.()
  }

  async take (): Promise<Event> {
    for (;;) {
      const event = this.events.shift()
      if (event !== undefined) return event
      await new Promise<void>((resolve) => { this.notify = resolve })
      this.notify = undefined
    }
  }
}
