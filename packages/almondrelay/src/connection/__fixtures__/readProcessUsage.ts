import { readdirSync, readFileSync } from 'node:fs'

interface ProcessUsage {
  /** Largest resident memory that the process has had, in MB; undefined once it has ended. */
  peakMb: number | undefined
  /** Open descriptors. */
  descriptors: number
}

const KB_PER_MB = 1_024

/** Reads what a process of this machine uses; Linux only. */
export function readProcessUsage (pid: number): ProcessUsage {
  try {
    const peakKb = /^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
    return { peakMb: peakKb === undefined ? undefined : Number(peakKb) / KB_PER_MB, descriptors: readdirSync(`/proc/${pid}/fd`).length }
  } catch {
    return { peakMb: undefined, descriptors: 0 }
  }
}
