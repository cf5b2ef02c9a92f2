/** `npm run docs`: rewrites the lists in the docs from the code. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { DOCS_LISTS, renderSampleBurnPage, SAMPLE_BURN_PAGE_PATH } from './lists.js'
import { replaceList } from './markdown.js'
import { openRepository } from './repository.js'

const root = fileURLToPath(new URL('../../../', import.meta.url))
const repository = openRepository(root)
writeFileSync(join(root, SAMPLE_BURN_PAGE_PATH), renderSampleBurnPage())
for (const { page, name, render } of DOCS_LISTS) {
  const text = replaceList(repository.read(page), name, render(repository))
  writeFileSync(join(root, page), text)
  process.stdout.write(`${page}: ${name}\n`)
}
