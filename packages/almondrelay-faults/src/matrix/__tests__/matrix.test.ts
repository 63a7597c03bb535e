import { test } from 'uvu'
import { cells } from '../cells.js'

// One test a cell: each brings its fault about at its step and checks what callers and targets see.
for (const cell of cells) {
  const { prove } = cell
  if (prove !== undefined) test(`${cell.step} x ${cell.faults.join(' and ')}: ${cell.outcome}`, prove)
}

test.run()
