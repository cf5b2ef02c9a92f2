/** ESLint rule: no file imports itself through others, by types included. Packages are kept apart by their references. */
import { existsSync, readFileSync } from 'node:fs'
import { dirname, relative, resolve } from 'node:path'
import typescript from 'typescript'

const importsByFile = new Map()

function importsOf (file) {
  const known = importsByFile.get(file)
  if (known !== undefined) return known
  const imports = []
  for (const { fileName } of typescript.preProcessFile(readFileSync(file, 'utf8')).importedFiles) {
    if (!fileName.startsWith('.')) continue
    const target = resolve(dirname(file), fileName.replace(/\.js$/, '.ts'))
    if (existsSync(target)) imports.push(target)
  }
  importsByFile.set(file, imports)
  return imports
}

/** Returns the files of the shortest circle through a file, without the file itself at the end; undefined if none. */
function findCircle (start) {
  const paths = [[start]]
  const seen = new Set()
  for (const path of paths) {
    for (const target of importsOf(path.at(-1))) {
      if (target === start) return path
      if (seen.has(target)) continue
      seen.add(target)
      paths.push([...path, target])
    }
  }
  return undefined
}

export const noImportCircles = {
  meta: { type: 'problem', schema: [], messages: { circle: 'import circle: {{files}}' } },
  create: context => ({
    Program: node => {
      const circle = findCircle(context.filename)
      if (circle === undefined) return
      const files = [...circle, context.filename].map(file => relative(dirname(context.filename), file)).join(' > ')
      context.report({ node, messageId: 'circle', data: { files } })
    }
  })
}
