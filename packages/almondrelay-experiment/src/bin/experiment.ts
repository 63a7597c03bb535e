#!/usr/bin/env node
import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { Command, InvalidArgumentError, Option } from 'commander'
import { compareWays } from '../compareWays.js'
import { formatComparison } from '../formatComparison.js'
import { loadPattern } from '../model/loadPattern.js'
import { renderPlot } from '../renderPlot.js'
import { ways } from '../steering/ways.js'

const MOST_SEEDS = 200

interface ExperimentOptions {
  pattern: keyof typeof loadPattern
  ways: string[]
  seeds: number
  plot?: string
}

const parseSeeds = (text: string): number => {
  const seeds = Number(text)
  if (Number.isInteger(seeds) && seeds >= 2 && seeds <= MOST_SEEDS) return seeds
  throw new InvalidArgumentError(`write a whole number from 2 to ${MOST_SEEDS}`)
}

const parseWays = (text: string): string[] => {
  const names = text.split(',')
  const unknown = names.find((name) => ways[name] === undefined)
  if (unknown === undefined) return names
  throw new InvalidArgumentError(`'${unknown}' is no way; write some of ${Object.keys(ways).join(',')}`)
}

new Command('experiment')
  .description('compares ways of steering in virtual time')
  .addOption(new Option('--pattern <name>', 'load pattern').choices(Object.keys(loadPattern)).default('restart'))
  .option('--ways <names>', 'ways, separated by commas; the others are compared with the first', parseWays, ['plain', 'product'])
  .option('--seeds <count>', 'seeds over which each way is run', parseSeeds, 10)
  .option('--plot <file>', 'also draws the comparison as an SVG')
  .action(({ pattern, ways: names, seeds, plot }: ExperimentOptions) => {
    const comparisons = compareWays({ pattern, names, seeds })
    console.log(`${pattern}: ${loadPattern[pattern].description}; ${seeds} seeds\n${formatComparison(comparisons)}`)
    if (plot === undefined) return
    mkdirSync(path.dirname(plot), { recursive: true })
    writeFileSync(plot, renderPlot(`${pattern}: worth of an answer`, comparisons))
  })
  .parse()
