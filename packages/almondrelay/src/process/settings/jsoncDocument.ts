import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import type { FileProblem } from './fileProblem.js'

const PARSE_OPTIONS = { allowTrailingComma: true, disallowComments: false }
const SYNTAX_REMEDY = 'write JSON, in which comments and a last comma are allowed'

/** Text of JSON with comments, with the place of every value in it. */
export class JsoncDocument {
  /** What the text holds; undefined where it can't be parsed. */
  readonly value: unknown
  /** Errors of syntax and keys that stand twice in one object. */
  readonly problems: FileProblem[]
  private readonly root: Node | undefined

  constructor (readonly file: string, private readonly text: string) {
    const errors: ParseError[] = []
    this.root = parseTree(text, errors, PARSE_OPTIONS)
    this.value = this.root === undefined || errors.length > 0 ? undefined : getNodeValue(this.root)
    this.problems = errors.map((error) => this.describeSyntaxError(error))
    if (this.root !== undefined && errors.length === 0) this.collectDoubleKeys(this.root, '')
    if (this.root === undefined && errors.length === 0) this.problems.push({ file, line: 1, path: '', found: 'an empty file', remedy: SYNTAX_REMEDY })
  }

  /** Line of the value at a path, or of the nearest object around it where the value is absent. */
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

  // A parser takes the last of two equal keys: the operator sees a setting that has no effect, because another one further down replaces it.
  private collectDoubleKeys (node: Node, path: string): void {
    const seen = new Set<string>()
    for (const [index, child] of (node.children ?? []).entries()) {
      const key = child.type === 'property' ? String(child.children?.[0]?.value) : String(index)
      const childPath = path === '' ? key : `${path}.${key}`
      if (seen.has(key)) this.problems.push({ file: this.file, line: this.countLines(child.offset), path: childPath, found: 'the same name a second time', remedy: 'keep one of the two' })
      seen.add(key)
      const value = child.type === 'property' ? child.children?.[1] : child
      if (value !== undefined) this.collectDoubleKeys(value, childPath)
    }
  }

  private countLines (offset: number): number {
    return this.text.slice(0, offset).split('\n').length
  }
}
