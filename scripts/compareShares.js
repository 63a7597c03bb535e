// Compares ways to hold shares at an overloaded service on the model in virtual time, and prints the table of
// docs/design/hard-load.md. Run after a build: node scripts/compareShares.js [seconds] [seeds]
import { OverloadModel } from '../packages/almondrelay-gateway/dist/request/__fixtures__/overloadModel.js'
import { overloadPatterns } from '../packages/almondrelay-gateway/dist/request/__fixtures__/overloadPatterns.js'

const [seconds = 30, seeds = 3] = process.argv.slice(2).map(Number)
const SURGING = 6
const part = ({ inTime, asked }) => inTime / Math.max(1, asked)
const sum = (counts) => counts.reduce((total, { inTime, asked }) => ({ inTime: total.inTime + inTime, asked: total.asked + asked }), { inTime: 0, asked: 0 })
const measure = (model) => {
  const organisations = [...model.byOrganisation].sort(([, first], [, second]) => part(first) - part(second))
  const routes = [...model.byRoute].sort(([first], [second]) => first - second).map(([, count]) => part(count))
  return [part(organisations[0][1]), part(organisations[7][1]), part(organisations[36][1]), part(model.byOrganisation.get(SURGING)), Math.min(...routes), part(sum([...model.byOrganisation.values()])), part(model.patient), part(model.repeating), part(model.told), model.usedShare, model.refusals / seconds, model.changes]
}

console.log('| load | way | worst | tenth | median | organisation 6 | worst route | all | patient | repeating | told | work done | refusals a second | state changes |')
for (const [name, pattern] of Object.entries(overloadPatterns)) {
  for (const way of ['none', 'threshold', 'shares']) {
    const rows = Array.from({ length: seeds }, (_, index) => measure(new OverloadModel({ ...pattern, way, seed: index + 1, seconds }).run()))
    const means = rows[0].map((_, column) => rows.reduce((total, row) => total + row[column], 0) / seeds)
    console.log(`| ${name} | ${way} | ${means.map((mean, column) => mean.toFixed(column < 10 ? 2 : 0)).join(' | ')} |`)
  }
}
