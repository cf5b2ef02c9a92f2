/** Reads what the lists need from the files of the repository. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

/** A package of the workspace. */
export interface PackageSummary {
  readonly directory: string
  readonly description: string
}

/** A page of the docs. */
export interface PageSummary {
  /** Path relative to `docs/`. */
  readonly path: string
  /** Its first heading. */
  readonly title: string
}

/** The files of the repository. */
export interface Repository {
  readonly packages: () => PackageSummary[]
  readonly pages: () => PageSummary[]
  /** Reads a file by its path from the root. */
  readonly read: (path: string) => string
}

function titleOf (text: string): string {
  const heading = text.split('\n').find(line => line.startsWith('# '))
  if (heading === undefined) throw new Error('a page has no heading')
  return heading.slice(2).trim()
}

/**
 * Opens the repository.
 *
 * @param root - Path of its root.
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
      return paths.map(path => ({ path, title: titleOf(read(join('docs', path))) }))
    }
  }
}
