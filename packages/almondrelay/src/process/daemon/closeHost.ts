import type { Host } from './host.js'

/** Writes the last account pages and closes connections and metrics. Must be called after all tasks have ended. */
export async function closeHost (host: Host): Promise<void> {
  const { accountWriter, targets, metrics, log } = host
  const unwritten = await accountWriter.finish()
  if (unwritten > 0) log.error({ pages: unwritten }, 'account pages could not be written and are lost with this host: the platform did not answer')
  await targets.close()
  await metrics.close()
}
