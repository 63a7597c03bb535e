import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import type { FileProblem } from './fileProblem.js'

const PARSE_OPTIONS = { allowTrailingComma: true, disallowComments: false }
const SYNTAX_REMEDY = 'write JSON; comments and trailing commas are allowed'

/** Parsed JSON with comments that records the position of every value. */
export class JsoncDocument {
  /** The parsed value; undefined when the text can't be parsed. */
  readonly value: unknown
  /** Syntax errors and duplicate keys of objects. */
  readonly problems: FileProblem[]
  private readonly root: Node | undefined

  constructor (readonly file: string, private readonly text: string) {
    const errors: ParseError[] = []
    this.root = parseTree(text, errors, PARSE_OPTIONS)
    this.value = this.root === undefined || errors.length > 0 ? undefined : getNodeValue(this.root)
    this.problems = errors.map((error) => this.describeSyntaxError(error))
    if (this.root !== undefined && errors.length === 0) this.collectDuplicateKeys(this.root, '')
    if (this.root === undefined && errors.length === 0) this.problems.push({ file, line: 1, path: '', found: 'an empty file', remedy: SYNTAX_REMEDY })
  }

  /** Returns the line of the value at a path or, when the value is absent, of the nearest enclosing object. */
  findLine (path: ReadonlyArray<string | number>): number {
    for (let length = path.length; length > 0; length -= 1) {
      const node = this.root && findNodeAtLocation(this.root, path.slice(0, length))
      if (node !== undefined) return this.countLines(node.parent?.type === 'property' ? node.parent.offset : node.offset)
    }
    return this.root === undefined ? 1 : this.countLines(this.root.offset)
  }

  private describeSyntaxError (error: ParseError): FileProblem {
    const found = error.length === 0 ? 'the end of the file' : JSON.stringify(this.text.slice(error.offset, error.offset + Math.min(error.length, 40)))
    return { file: this.file, line: this.countLines(error.offset), path: '', found: `${found} (${printParseErrorCode(error.error)})`, remedy: SYNTAX_REMEDY }
  }

  // Reports duplicate keys: parsers use the last of two equal keys, so the first setting would silently have no effect.
  private collectDuplicateKeys (node: Node, path: string): void {
    const seen = new Set<string>()
    for (const [index, child] of (node.children ?? []).entries()) {
      const key = child.type === 'property' ? String(child.children?.[0]?.value) : String(index)
      const childPath = path === '' ? key : `${path}.${key}`
      if (seen.has(key)) this.problems.push({ file: this.file, line: this.countLines(child.offset), path: childPath, found: 'the same name a second time', remedy: 'keep one of the two' })
      seen.add(key)
      const value = child.type === 'property' ? child.children?.[1] : child
      if (value !== undefined) this.collectDuplicateKeys(value, childPath)
    }
  }

  private countLines (offset: number): number {
    return this.text.slice(0, offset).split('\n').length
  }
}
