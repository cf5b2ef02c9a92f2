import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { describe, expect, test } from 'vitest'
import { METRICS } from '@baobabpost/common'
import { NOT_RUN_REASONS, UNKNOWN_REASONS } from '@baobabpost/messages'
import { DOCS_LISTS, openRepository, renderSampleBurnPage, replaceList, SAMPLE_BURN_PAGE_PATH } from '@baobabpost/docs-lists'

const root = fileURLToPath(new URL('../../../', import.meta.url))
const repository = openRepository(root)

describe('lists in the docs', () => {
  test.each(DOCS_LISTS.map(list => [list.page, list.name, list] as const))('%s has the %s of the code', (page, name, list) => {
    const text = repository.read(page)
    expect(text, 'run: npm run docs').toBe(replaceList(text, name, list.render(repository)))
  })

  test('the sample page is the one that the code writes', () => {
    expect(repository.read(SAMPLE_BURN_PAGE_PATH), 'run: npm run docs').toBe(renderSampleBurnPage())
  })

  test('every reason for which work is not run, or its outcome is unknown, is explained', () => {
    const page = repository.read('docs/ERRORS.md')
    for (const reason of [...NOT_RUN_REASONS, ...UNKNOWN_REASONS]) expect(page).toContain(`| \`${reason}\` |`)
  })

  test('a page without the list is a fault and not an empty list', () => {
    expect(() => replaceList('# Page', 'metrics', 'text')).toThrow('metrics')
  })
})

test('every metric of the list is sent by some process', () => {
  const sources = readdirSync(`${root}packages`, { recursive: true, encoding: 'utf8' })
    .filter(path => /^[a-z-]+\/src\/.*\.ts$/.test(path) && path !== 'common/src/metrics.ts')
    .map(path => repository.read(`packages/${path}`)).join('\n')
  for (const name of Object.keys(METRICS)) expect(sources, name).toContain(`'${name}'`)
})

describe('links between pages', () => {
  test('lead to files that are there', () => {
    const files = new Set(readdirSync(root, { recursive: false, encoding: 'utf8' }))
    const pages = repository.pages().map(page => `docs/${page.path}`)
    for (const page of ['README.md', 'CONTRIBUTING.md', 'docs/README.md', ...pages]) {
      const base = new URL(page, 'file:///')
      for (const [, target] of repository.read(page).matchAll(/\]\(([^)#]+)(?:#[^)]*)?\)/g)) {
        if (target === undefined || /^https?:/.test(target)) continue
        const path = decodeURIComponent(new URL(target, base).pathname.slice(1))
        const found = files.has(path) || canRead(path)
        expect(found, `${page} links to ${target}`).toBe(true)
      }
    }
  })
})

function canRead (path: string): boolean {
  try {
    repository.read(path)
    return true
  } catch (reason) {
    return (reason as NodeJS.ErrnoException).code === 'EISDIR'
  }
}
