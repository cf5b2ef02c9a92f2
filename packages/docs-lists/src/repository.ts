/** Reads the packages and docs pages of the repository for the generated lists. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

/** A package of the workspace. */
export interface PackageSummary {
  readonly directory: string
  readonly description: string
}

export interface PageSummary {
  /** Path relative to `docs/`. */
  readonly path: string
  /** First heading of the page. */
  readonly title: string
}

export interface Repository {
  readonly packages: () => PackageSummary[]
  readonly pages: () => PageSummary[]
  /** Reads a file by its path relative to the root of the repository. */
  readonly read: (path: string) => string
}

function findTitle (text: string): string {
  const heading = text.split('\n').find(line => line.startsWith('# '))
  if (heading === undefined) throw new Error('docs page has no title: no line starts with "# "')
  return heading.slice(2).trim()
}

/**
 * Returns access to a repository; reads no file yet.
 *
 * @param root - Path of the root of the repository.
 */
export function openRepository (root: string): Repository {
  const read = (path: string): string => readFileSync(join(root, path), 'utf8')
  return {
    read,
    packages () {
      const directories = readdirSync(join(root, 'packages')).filter(name =>
        existsSync(join(root, 'packages', name, 'package.json')))
      return directories.sort().map(directory => {
        const { description } = JSON.parse(read(`packages/${directory}/package.json`)) as { description: string }
        return { directory, description }
      })
    },
    pages () {
      const files = readdirSync(join(root, 'docs'), { recursive: true, encoding: 'utf8' })
      const paths = files.filter(path => path.endsWith('.md') && path !== 'README.md').sort()
      return paths.map(path => ({ path, title: findTitle(read(join('docs', path))) }))
    }
  }
}
