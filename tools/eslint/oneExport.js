/** A file exports one name; index.ts files gather. A type and a value of one name count once. */
export const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { many: 'this file exports {{names}}: one export a file, move the others into files of their own' }
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
