#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { cells } from '../matrix/cells.js'
import { renderPage } from '../matrix/renderPage.js'

const PAGE = new URL('../../../../docs/FAULTS.md', import.meta.url)

writeFileSync(PAGE, renderPage(cells))
