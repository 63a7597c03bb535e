interface PageKey {
  host: string
  incarnation: number
  minute: number
}

const PAGE_KEY = /^account\/([^/]+)\/(\d+)\/(\d{10})$/

/** Parses a page's platform key; returns undefined when the key is not that of a page. */
export function parsePageKey (key: string): PageKey | undefined {
  const parts = PAGE_KEY.exec(key)
  return parts?.[1] === undefined ? undefined : { host: parts[1], incarnation: Number(parts[2]), minute: Number(parts[3]) }
}
