/** Goals that `almondrelay watch` can wait for. */
const WatchGoal = {
  inForce: 'in-force',
  drained: 'drained'
} as const

type WatchGoal = (typeof WatchGoal)[keyof typeof WatchGoal]

export { WatchGoal }
