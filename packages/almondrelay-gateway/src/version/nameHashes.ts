import { computeHash } from './computeHash.js'

/** Hashes of the names of one configuration version, each computed once, as names are looked up for each request and each report. */
export class NameHashes {
  private readonly hashesByName = new Map<string, number>()
  private readonly namesByHash = new Map<number, string>()

  constructor (entries: ReadonlyArray<{ name: string }>) {
    for (const { name } of entries) {
      const hash = computeHash(name)
      this.hashesByName.set(name, hash)
      if (!this.namesByHash.has(hash)) this.namesByHash.set(hash, name)
    }
  }

  getHash (name: string): number {
    return this.hashesByName.get(name) ?? computeHash(name)
  }

  findName (hash: number): string | undefined {
    return this.namesByHash.get(hash)
  }
}
