const REVISION_DIGITS = 12
const PREFIX = 'changes/'

/** Keys of the change log and of its snapshots in the platform's store. */
export const changeKeys = {
  prefix: PREFIX,
  /** Key of the manifest of the newest complete snapshot. */
  manifest: 'snapshots/latest',
  makeChangeKey: (revision: number): string => `${PREFIX}${formatRevision(revision)}`,
  /** Returns the revision of the change that a key holds. */
  parseRevision: (changeKey: string): number => Number(changeKey.slice(PREFIX.length)),
  makeChunkKey: (revision: number, chunk: number): string => `snapshots/${formatRevision(revision)}/${String(chunk).padStart(4, '0')}`
}

function formatRevision (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}
