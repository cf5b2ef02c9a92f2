/** Reads the log lines of a fleet from a file or a directory of files. */
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { CommandFailure } from './command-failure.js'

function filesAt (path: string): string[] {
  if (!statSync(path).isDirectory()) return [path]
  const files: string[] = []
  for (const entry of readdirSync(path, { withFileTypes: true, recursive: true })) {
    if (entry.isFile()) files.push(join(entry.parentPath, entry.name))
  }
  return files
}

/**
 * Gives the lines of one file, or of all files below a directory.
 *
 * @throws CommandFailure with exit `usage` where it can't be read.
 * @example
 * for (const line of readLogLines('logs')) console.log(line)
 */
export function * readLogLines (path: string): Generator<string> {
  try {
    for (const file of filesAt(path)) yield * readFileSync(file, 'utf8').split('\n')
  } catch {
    throw new CommandFailure({ exit: 'usage', detail: `The logs at '${path}' can not be read` })
  }
}
