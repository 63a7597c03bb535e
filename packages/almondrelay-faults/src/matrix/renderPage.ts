import type { Cell } from './cell.js'
import { Fault } from './fault.js'
import { ProofKind } from './proofKind.js'
import { Step } from './step.js'

const HEAD = `---
title: Fault matrix
description: Every fault at every step; what callers, targets and operators see, and how far it is proved.
---

# Fault matrix

Written by \`npm run faults\` from the table in packages/almondrelay-faults; a test checks that this
page is up to date. P: proved by a test. I: impossible, with the reason below. A dot: not proved.
Beyond the table, 400 random interleavings of kills, freezes, cuts, silent connections, broken
targets and drains run with each test run (seed 20261202).
`

/** The page docs/FAULTS.md. */
export function renderPage (cells: readonly Cell[]): string {
  const open = Object.values(Step).flatMap((step) => Object.values(Fault).map((fault) => findMark(cells, step, fault))).filter((mark) => mark === '·').length
  return [HEAD, renderTable(cells), '', `${open} cells of ${Object.values(Step).length * Object.values(Fault).length} are not proved.`, '', '## Outcomes', '', renderOutcomes(cells), ''].join('\n')
}

function renderTable (cells: readonly Cell[]): string {
  const faults = Object.values(Fault)
  const rows = Object.values(Step).map((step) => `| ${step} | ${faults.map((fault) => findMark(cells, step, fault)).join(' | ')} |`)
  return [`| step | ${faults.join(' | ')} |`, `|---|${faults.map(() => '---').join('|')}|`, ...rows].join('\n')
}

function findMark (cells: readonly Cell[], step: Step, fault: Fault): string {
  const found = cells.filter((cell) => cell.step === step && cell.faults.includes(fault))
  if (found.some((cell) => cell.kind === ProofKind.here || cell.kind === ProofKind.elsewhere)) return 'P'
  return found.some((cell) => cell.kind === ProofKind.impossible) ? 'I' : '·'
}

function renderOutcomes (cells: readonly Cell[]): string {
  const rows = cells.map((cell) => `| ${cell.step} | ${cell.faults.join(' and ')} | ${cell.outcome} | ${cell.kind} | ${cell.where ?? 'almondrelay-faults: matrix'} |`)
  return ['| step | faults | outcome | | where, or why |', '|---|---|---|---|---|', ...rows].join('\n')
}
