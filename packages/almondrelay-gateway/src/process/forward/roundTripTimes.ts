/** Round-trip time within the own region, in milliseconds, that is assumed before the first measurement. */
const INITIAL_OWN_REGION_MS = 2
/** Round-trip time to another region, in milliseconds, that is assumed before the first measurement. */
const INITIAL_OTHER_REGION_MS = 60
/** Weight of a measurement above the estimate. One below it replaces the estimate, because only waiting lengthens a round trip. */
const INCREASE_WEIGHT = 0.05

/** Round-trip times to the targets of each region, in milliseconds, estimated from the time that opening a connection takes. */
export class RoundTripTimes {
  private readonly estimates = new Map<string, number>()

  constructor (private readonly ownRegion: string) {}

  find (region: string): number {
    return this.estimates.get(region) ?? (region === this.ownRegion ? INITIAL_OWN_REGION_MS : INITIAL_OTHER_REGION_MS)
  }

  update (region: string, durationMs: number): void {
    const known = this.estimates.get(region)
    if (known === undefined || durationMs < known) this.estimates.set(region, durationMs)
    else this.estimates.set(region, known + (durationMs - known) * INCREASE_WEIGHT)
  }
}
