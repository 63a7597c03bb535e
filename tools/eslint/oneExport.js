/**
 * Requires that a file exports only one name. A type and a value of the same name count as one. The configuration
 * exempts index.ts files, which re-export.
 */
export const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { many: 'this file exports {{names}}: only one export per file is allowed, move the others into files of their own' }
  },
  create (context) {
    const names = new Set()
    const addDeclaration = (declaration) => {
      if (declaration.declarations) declaration.declarations.forEach((each) => names.add(each.id.name))
      else if (declaration.id) names.add(declaration.id.name)
    }
    return {
      ExportNamedDeclaration (node) {
        if (node.declaration) addDeclaration(node.declaration)
        node.specifiers.forEach((each) => names.add(each.exported.name))
      },
      'Program:exit' (node) {
        if (names.size > 1) context.report({ node, messageId: 'many', data: { names: [...names].join(', ') } })
      }
    }
  }
}
