import type { TopLevelSpec } from 'vega-lite'

/** Renders a chart as SVG. The charting library is imported here, since it is large and no other command needs it. */
export async function renderChart (spec: TopLevelSpec): Promise<string> {
  const [vega, vegaLite] = await Promise.all([import('vega'), import('vega-lite')])
  const view = new vega.View(vega.parse(vegaLite.compile(spec).spec), { renderer: 'none' })
  try {
    return await view.toSVG()
  } finally {
    view.finalize()
  }
}
