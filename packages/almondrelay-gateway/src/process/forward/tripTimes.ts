/** Round-trip time within the own region, in milliseconds, that is assumed before the first measurement. */
const FIRST_NEAR_MS = 2
/** Round-trip time to another region, in milliseconds, that is assumed before the first measurement. */
const FIRST_FAR_MS = 60
/** Weight of a measurement above the estimate. One below it replaces the estimate, because only waiting lengthens a round trip. */
const LONGER_GAIN = 0.05

/** Round-trip times to the targets of each region, in milliseconds, estimated from the time that opening a connection takes. */
export class TripTimes {
  private readonly measured = new Map<string, number>()

  constructor (private readonly ownRegion: string) {}

  find (region: string): number {
    return this.measured.get(region) ?? (region === this.ownRegion ? FIRST_NEAR_MS : FIRST_FAR_MS)
  }

  learn (region: string, durationMs: number): void {
    const known = this.measured.get(region)
    if (known === undefined || durationMs < known) this.measured.set(region, durationMs)
    else this.measured.set(region, known + (durationMs - known) * LONGER_GAIN)
  }
}
