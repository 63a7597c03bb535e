import type { PlatformHost } from 'almondrelay'

interface PutList {
  putAt: number
  hosts: PlatformHost[]
}

const MAX_LISTS = 1_000

/** The platform's host list, which shows each list that was put only after a lag, or never while frozen. */
export class LaggingHostList {
  private lists: PutList[] = [{ putAt: -Infinity, hosts: [] }]
  private frozenAt: number | undefined

  constructor (private lagMs: number) {}

  put (hosts: PlatformHost[], now: number): void {
    this.lists.push({ putAt: now, hosts })
    if (this.lists.length > MAX_LISTS) this.lists = this.lists.slice(-MAX_LISTS / 2)
  }

  list (now: number): PlatformHost[] {
    const shownAt = (this.frozenAt ?? now) - this.lagMs
    return this.lists.findLast((list) => list.putAt <= shownAt)?.hosts ?? []
  }

  setLag (lagMs: number): void {
    this.lagMs = lagMs
  }

  setFrozen (frozen: boolean, now: number): void {
    this.frozenAt = frozen ? this.frozenAt ?? now : undefined
  }
}
