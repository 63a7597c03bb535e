/** The way that bytes go through a relay. */
export type RelayDirection = 'toTarget' | 'toClient' | 'both'
