import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { cells } from '../cells.js'
import { renderPage } from '../renderPage.js'

const PAGE = new URL('../../../../../docs/FAULTS.md', import.meta.url)

test('docs/FAULTS.md is the page of the table as it stands: run `npm run faults`', () => {
  assert.is(readFileSync(PAGE, 'utf8'), renderPage(cells))
})

test.run()
