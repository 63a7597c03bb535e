import { createSeededRandom } from 'almondrelay'
import type { Random } from 'almondrelay'
import type { DeploymentService } from '../deployments/deploymentService.js'
import type { LoadOperation } from './loadOperation.js'
import type { LoadPlan } from './loadPlan.js'
import { pickWeighted } from './pickWeighted.js'

const KEYS_A_CALLER = 20
const MAX_BODY_BYTES = 800

/** The operations of a plan in order of time. */
export function generateOperations (plan: LoadPlan): LoadOperation[] {
  const random = createSeededRandom(plan.seed)
  const operations: LoadOperation[] = []
  for (let atMs = sampleGapMs(plan.rate, random); atMs < plan.durationMs; atMs += sampleGapMs(plan.rate, random)) {
    operations.push(generateOperation(plan, operations.length + 1, atMs, random))
  }
  return operations
}

function generateOperation (plan: LoadPlan, number: number, atMs: number, random: Random): LoadOperation {
  const { deployment } = plan
  const service = pickWeighted(deployment.services, (each) => each.share, random)
  const [caller] = pickWeighted(Object.entries(deployment.callers), ([, share]) => share, random)
  const region = pickWeighted(deployment.regions, (each) => plan.regions?.[each.name] ?? 1, random).name
  const key = `person-${Math.floor(random() * KEYS_A_CALLER)}`
  const isWrite = service.writePath !== undefined && random() < plan.writeShare
  const place = { number, atMs, caller, key, region, service: service.name, answerBytes: service.answerBytes, deadlineMs: plan.deadlineMs }
  if (!isWrite) return { ...place, method: 'GET', path: makePath(service, service.readPath, number), idempotent: true, body: new Uint8Array() }
  const body = Buffer.from(`${caller} ${key} operation ${number} `.padEnd(Math.floor(random() * MAX_BODY_BYTES), '.'))
  return { ...place, method: 'POST', path: makePath(service, service.writePath ?? '/', number), idempotent: false, body }
}

function makePath (service: DeploymentService, path: string, number: number): string {
  return `${path}?operation=${number}&answerBytes=${service.answerBytes}`
}

function sampleGapMs (rate: number, random: Random): number {
  return -Math.log(1 - random()) * 1_000 / rate
}
