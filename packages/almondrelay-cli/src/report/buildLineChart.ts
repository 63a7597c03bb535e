import type { TopLevelSpec } from 'vega-lite'
import type { TimePoint } from './timePoint.js'

interface LineChart {
  points: TimePoint[]
  valueTitle: string
  /** Limits of the series, each drawn as a dashed line. */
  limits: Array<{ series: string, limit: number }>
}

const WIDTH = 760
const HEIGHT = 220

/** Builds one small chart for each series, one above the other, with its values by minute and its limit. */
export function buildLineChart ({ points, valueTitle, limits }: LineChart): TopLevelSpec {
  const limitBySeries = new Map(limits.map(({ series, limit }) => [series, limit]))
  return {
    data: { values: points.map((point) => ({ ...point, limit: limitBySeries.get(point.series) ?? null })) },
    facet: { row: { field: 'series', type: 'nominal', title: null, header: { labelAngle: 0, labelAlign: 'left', labelFontWeight: 'bold' } } },
    spec: {
      width: WIDTH,
      height: HEIGHT / 2,
      layer: [
        { mark: { type: 'area', line: true, opacity: 0.3, interpolate: 'step-after' }, encoding: { x: TIME, y: { field: 'value', type: 'quantitative', title: valueTitle } } },
        { mark: { type: 'rule', color: '#b00020', strokeDash: [6, 4], strokeWidth: 2 }, encoding: { y: { aggregate: 'min', field: 'limit', type: 'quantitative' } } }
      ]
    },
    resolve: { scale: { y: 'independent' } },
    config: { axis: { labelFontSize: 12, titleFontSize: 12 } }
  }
}

const TIME = { field: 'time', type: 'temporal', title: null, axis: { format: '%H:%M', labelOverlap: true }, scale: { type: 'utc' } } as const
