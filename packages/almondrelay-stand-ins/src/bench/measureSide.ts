import { ChildProgram } from '../cluster/childProgram.js'
import { resolveProgram } from '../cluster/resolveProgram.js'
import type { BenchSide } from './benchSide.js'
import type { RateFigures } from './rateFigures.js'
import { sumFailures } from './sumFailures.js'

interface SideLoad {
  /** Load programs at once; more than one, so that none of them is the limit. */
  programs: number
  connections: number
  seconds: number
}

interface SideFigures {
  perSecond: number
  failures: Record<string, number>
  p50Ms: number
  p99Ms: number
}

const LATE_MS = 10_000

/** Measures one side with load programs of their own. */
export async function measureSide (side: BenchSide, load: SideLoad, signal: AbortSignal): Promise<SideFigures> {
  const args = [
    resolveProgram('benchLoad'), '--address', side.address, '--path', side.path, '--method', side.method,
    '--connections', String(load.connections), '--seconds', String(load.seconds),
    ...(side.home === undefined ? [] : ['--home', side.home])
  ]
  const programs = Array.from({ length: load.programs }, (_, index) => ChildProgram.start({ name: `load ${index} of ${side.name}`, args, signal }))
  const lines = await Promise.all(programs.map(async (program) => await program.waitForLine((line) => line.startsWith('{"answered"'), load.seconds * 1_000 + LATE_MS)))
  const figures = lines.map((line) => JSON.parse(line) as RateFigures)
  await Promise.all(programs.map(async (program) => await program.exited))
  return {
    perSecond: figures.reduce((sum, each) => sum + each.answered / each.durationMs * 1_000, 0),
    failures: sumFailures(figures.map((each) => each.failures)),
    p50Ms: Math.max(...figures.map((each) => each.p50Ms)),
    p99Ms: Math.max(...figures.map((each) => each.p99Ms))
  }
}
