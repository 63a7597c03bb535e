const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Escapes text for HTML. Callers choose their names, so every name in a report must be escaped. */
export function formatHtml (text: string): string {
  return text.replace(/[&<>"']/g, (character) => ENTITIES[character] ?? '')
}
