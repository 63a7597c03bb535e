/** Faults of the brief. */
const Fault = {
  kill: 'kill',
  freeze: 'freeze and wake',
  cutTo: 'cut towards',
  cutBack: 'cut back',
  silentConnection: 'silent connection',
  slow: 'slow',
  outage: 'platform outage',
  lostAnswer: 'platform answer lost',
  leaseLapse: 'lease lapse',
  noMeasurements: 'measurements stopped',
  operatorRace: 'operator race',
  regionLost: 'region lost'
} as const

type Fault = (typeof Fault)[keyof typeof Fault]

export { Fault }
