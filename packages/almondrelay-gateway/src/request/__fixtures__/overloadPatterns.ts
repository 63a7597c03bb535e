import type { ModelClass } from './modelClass.js'
import type { ModelOptions } from './modelOptions.js'

const ORGANISATIONS = 73
/** Exponent of the organisations' sizes: the largest sends a fifteenth of all requests. */
const SKEW = 0.8
/** Index of the organisation that sends seven times its usual; it sends a fortieth of the usual requests. */
const SURGING = 5
const SURGE = 7
const ROUTE_PARTS = [0.6, 0.3, 0.1]
const OVERLOAD = 1.3

type Pattern = Omit<ModelOptions, 'way' | 'seed' | 'seconds'>

const makeClasses = (total: number, findFactor: (organisation: number, route: number) => number, findPriorities: (organisation: number, route: number) => [number, number]): ModelClass[] => {
  const classes: ModelClass[] = []
  for (let organisation = 0; organisation < ORGANISATIONS; organisation += 1) {
    for (const [route, part] of ROUTE_PARTS.entries()) {
      const [organisationPriority, routePriority] = findPriorities(organisation, route)
      classes.push({ organisation: organisation + 1, organisationPriority, route: route + 1, routePriority, load: (organisation + 1) ** -SKEW * part * findFactor(organisation, route) })
    }
  }
  const sum = classes.reduce((load, each) => load + each.load, 0)
  return classes.map((each) => ({ ...each, load: each.load / sum * total }))
}

const findSurge = (organisation: number): number => organisation === SURGING ? SURGE : 1
const getSamePriority = (): [number, number] => [0, 0]

/** The loads for which ways to hold shares are compared. */
export const overloadPatterns: Readonly<Record<string, Pattern>> = {
  surge: { classes: makeClasses(OVERLOAD, findSurge, getSamePriority) },
  ranks: { classes: makeClasses(OVERLOAD, findSurge, (organisation) => [organisation % 3 === 2 ? 1 : 0, 0]) },
  burst: { classes: makeClasses(0.95, () => 1, getSamePriority), findFactor: ({ route }, at) => route === 1 && at % 10_000 < 5_000 ? 1.8 : 1 },
  repeats: { classes: makeClasses(OVERLOAD, findSurge, getSamePriority), repeatingShare: 0.3 },
  leavers: { classes: makeClasses(OVERLOAD, findSurge, getSamePriority), leavingShare: 0.3 },
  routes: { classes: makeClasses(OVERLOAD, () => 1, (_, route) => [0, route === 0 ? 1 : 0]) },
  calm: { classes: makeClasses(0.7, () => 1, getSamePriority) }
}
