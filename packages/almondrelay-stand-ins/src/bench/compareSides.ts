import { setTimeout as sleepFor } from 'node:timers/promises'
import type { BenchSide } from './benchSide.js'
import { computeMedian } from './computeMedian.js'
import { measureSide } from './measureSide.js'
import { sumFailures } from './sumFailures.js'

interface Comparison {
  title: string
  bare: BenchSide
  ours: BenchSide
  /** The part of the bare rate that ours should reach. */
  aim: number
}

interface ComparisonRow {
  title: string
  barePerSecond: number
  oursPerSecond: number
  ratio: number
  /** Lowest and highest ratio of a single round. */
  ratioRange: [number, number]
  aim: number
  /** With one request at a time. */
  bareP50Ms: number
  oursP50Ms: number
  failures: Record<string, number>
}

interface Round {
  bare: number
  ours: number
  bareP50: number
  oursP50: number
  failures: Record<string, number>
}

const ROUNDS = 3
const BUSY = { programs: 2, connections: 24, seconds: 3 }
/** A side is warm once its rate no longer grows by more than this part; new targets get their work by steps. */
const STEADY_GROWTH = 0.1
const MAX_WARM_UPS = 6
const SINGLE = { programs: 1, connections: 1, seconds: 1.5 }
const PAUSE_MS = 200

/** Measures both sides in turn for some rounds and gives the medians. */
export async function compareSides ({ title, bare, ours, aim }: Comparison, signal: AbortSignal): Promise<ComparisonRow> {
  const rounds: Round[] = []
  for (const side of [bare, ours]) await prepareSide(side, signal)
  for (let round = 0; round < ROUNDS; round++) {
    const first = await measureSide(bare, BUSY, signal)
    await sleepFor(PAUSE_MS, undefined, { signal })
    const second = await measureSide(ours, BUSY, signal)
    await sleepFor(PAUSE_MS, undefined, { signal })
    const singleBare = await measureSide(bare, SINGLE, signal)
    const singleOurs = await measureSide(ours, SINGLE, signal)
    const failures = sumFailures([first, second, singleBare, singleOurs].map((figures) => figures.failures))
    rounds.push({ bare: first.perSecond, ours: second.perSecond, bareP50: singleBare.p50Ms, oursP50: singleOurs.p50Ms, failures })
  }
  const ratios = rounds.map((round) => round.ours / round.bare)
  return {
    title,
    barePerSecond: computeMedian(rounds.map((round) => round.bare)),
    oursPerSecond: computeMedian(rounds.map((round) => round.ours)),
    ratio: computeMedian(ratios),
    ratioRange: [Math.min(...ratios), Math.max(...ratios)],
    aim,
    bareP50Ms: computeMedian(rounds.map((round) => round.bareP50)),
    oursP50Ms: computeMedian(rounds.map((round) => round.oursP50)),
    failures: sumFailures(rounds.map((round) => round.failures))
  }
}

async function prepareSide (side: BenchSide, signal: AbortSignal): Promise<void> {
  let last = 0
  for (let count = 0; count < MAX_WARM_UPS; count++) {
    const { perSecond } = await measureSide(side, BUSY, signal)
    if (perSecond < last * (1 + STEADY_GROWTH)) return
    last = perSecond
  }
}
