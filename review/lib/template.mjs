// Fills in the settings template of the deploy file, as DEPLOY.md describes: values, JSON values and sections.
const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g

function findValue (fields, name) {
  return name.split('.').reduce((value, part) => value === undefined || value === null ? undefined : value[part], fields)
}

export function fillTemplate (text, fields) {
  return text
    .replace(SECTION, (_, sign, name, inner) => {
      const value = findValue(fields, name)
      const isPresent = value !== undefined && value !== null && value !== false
      return isPresent === (sign === '#') ? fillTemplate(inner, fields) : ''
    })
    .replace(VALUE, (_, name, json) => {
      const value = findValue(fields, name)
      if (json) return value === undefined ? 'null' : JSON.stringify(value)
      return value === undefined ? '' : String(value)
    })
}
