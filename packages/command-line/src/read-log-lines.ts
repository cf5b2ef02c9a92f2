/** Reads the log lines of a fleet from a file or a directory of files. */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { CommandFailure } from './command-failure.js'

function listFiles (path: string): string[] {
  if (!statSync(path).isDirectory()) return [path]
  const files: string[] = []
  for (const entry of readdirSync(path, { withFileTypes: true, recursive: true })) {
    if (entry.isFile()) files.push(join(entry.parentPath, entry.name))
  }
  return files
}

/**
 * Yields the lines of a file, or of all files below a directory.
 *
 * @throws CommandFailure with exit `usage` if the path can not be read.
 * @example
 * for (const line of readLogLines('logs')) console.log(line)
 */
export function * readLogLines (path: string): Generator<string> {
  try {
    for (const file of listFiles(path)) yield * readFileSync(file, 'utf8').split('\n')
  } catch {
    throw new CommandFailure({ exit: 'usage', detail: `The logs at '${path}' can not be read` })
  }
}
