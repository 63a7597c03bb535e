import type { Cell } from './cell.js'
import { elsewhereCells } from './elsewhereCells.js'
import { peerHopCells } from './peerHopCells.js'
import { requestCells } from './requestCells.js'

/** The fault matrix; a step and fault that has no cell here isn't proved. */
export const cells: readonly Cell[] = [...requestCells, ...peerHopCells, ...elsewhereCells]
