import { loadVerbs } from './loadVerbs.js'

const FIRST_WORD = /^[#_]?([a-z]+)/

/** Requires that function and method names begin with a verb that docs/verbs.md lists. */
export const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "'{{name}}' does not begin with a verb that docs/verbs.md lists: rename it, or add the verb with its meaning there" }
  },
  create (context) {
    const verbs = loadVerbs()
    const checkName = (node, name) => {
      const firstWord = FIRST_WORD.exec(name)?.[1]
      if (firstWord === undefined || verbs.has(firstWord)) return
      context.report({ node, messageId: 'verb', data: { name } })
    }
    return {
      FunctionDeclaration (node) {
        if (node.id) checkName(node.id, node.id.name)
      },
      MethodDefinition (node) {
        if (node.kind !== 'method' || node.computed) return
        if (node.key.type === 'Identifier' || node.key.type === 'PrivateIdentifier') checkName(node.key, node.key.name)
      },
      TSAbstractMethodDefinition (node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') checkName(node.key, node.key.name)
      },
      VariableDeclarator (node) {
        const isFunction = node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression'
        if (isFunction && node.id.type === 'Identifier') checkName(node.id, node.id.name)
      }
    }
  }
}
