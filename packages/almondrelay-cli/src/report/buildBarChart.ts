import type { TopLevelSpec } from 'vega-lite'
import type { TimePoint } from './timePoint.js'

const WIDTH = 760
const HEIGHT = 240

/** Builds a bar chart by minute, stacked by series; `span` is in milliseconds since the Unix epoch. */
export function buildBarChart (points: readonly TimePoint[], span: readonly [number, number], valueTitle: string, seriesTitle: string): TopLevelSpec {
  return {
    width: WIDTH,
    height: HEIGHT,
    data: { values: [...points] },
    mark: { type: 'bar' },
    encoding: {
      x: { field: 'time', type: 'temporal', timeUnit: 'utcyearmonthdatehoursminutes', title: null, axis: { format: '%H:%M', labelOverlap: true }, scale: { type: 'utc', domain: [...span] } },
      y: { field: 'value', type: 'quantitative', title: valueTitle, stack: 'zero' },
      color: { field: 'series', type: 'nominal', title: seriesTitle, scale: { scheme: 'tableau10' } }
    },
    config: { axis: { labelFontSize: 12, titleFontSize: 12 } }
  }
}
