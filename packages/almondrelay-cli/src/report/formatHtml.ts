const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Text as HTML. Callers name themselves, so every name in a report goes through here. */
export function formatHtml (text: string): string {
  return text.replace(/[&<>"']/g, (character) => ENTITIES[character] ?? '')
}
