/** Draws one lawful answer, in any form that RFC 9112 allows, and the body that it has. */
export function generateAnswer (random: () => number): { text: string, body: string } {
  const pick = (below: number): number => Math.floor(random() * below)
  const choose = <Item>(items: readonly Item[]): Item => items[pick(items.length)] as Item
  const content = Array.from({ length: choose([0, 1, 5, 300, 6_000]) + pick(20) }, () => String.fromCharCode(pick(256))).join('')
  const headers = [
    ...(random() < 0.5 ? [`X-Note:${choose(['', ' ', '\t '])}${choose(['plain', 'M\u00c4\u0081ori', '', 'a, b'])}${choose(['', ' '])}`] : []),
    ...(random() < 0.1 ? ['X-Folded: a\r\n  b'] : []),
    'id: r1'
  ]
  const interim = random() < 0.1 ? 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' : ''
  const status = choose(['200 OK', '200', '404 Not Found', '503 ', '204 No Content', '304 Not Modified'])
  const hasBody = !status.startsWith('204') && !status.startsWith('304')
  const isChunked = hasBody && random() < 0.5
  if (isChunked) headers.push(`${choose(['Transfer-Encoding', 'transfer-encoding'])}: ${choose(['chunked', 'Chunked'])}`)
  else if (hasBody) headers.push(`Content-Length: ${choose(['', '0', '000'])}${content.length}`)
  const head = `${interim}HTTP/1.1 ${status}\r\n${headers.join('\r\n')}\r\n\r\n`
  if (!hasBody) return { text: head, body: '' }
  return { text: head + (isChunked ? encodeChunks(content, random) : content), body: content }
}

const encodeChunks = (content: string, random: () => number): string => {
  let text = ''
  for (let at = 0; at < content.length;) {
    const chunk = content.slice(at, at + 1 + Math.floor(random() * 2_000))
    const size = random() < 0.5 ? chunk.length.toString(16) : `00${chunk.length.toString(16).toUpperCase()}`
    text += `${size}${random() < 0.2 ? ' ;name="a;b"' : ''}\r\n${chunk}\r\n`
    at += chunk.length
  }
  return `${text}${random() < 0.5 ? '0' : '000'}\r\n${random() < 0.2 ? 'X-Sum: 7\r\n' : ''}\r\n`
}
