/** Reads JSON from a file or from standard input and checks it by a schema. */
import { readFileSync } from 'node:fs'
import { Result, Schema } from 'effect'
import { CommandFailure } from './command-failure.js'

const STANDARD_INPUT = 0

function readText (file: string): string {
  try {
    return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8')
  } catch {
    throw new CommandFailure({ exit: 'usage', detail: `The file '${file}' can not be read` })
  }
}

/**
 * Reads a JSON file; `-` is standard input.
 *
 * @throws CommandFailure with exit `usage`.
 * @example
 * const request = readInput('job.json', JobRequest)
 */
export function readInput<S extends Schema.Codec<unknown>> (file: string, schema: S): S['Type'] {
  const text = readText(file)
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (reason) {
    throw new CommandFailure({ exit: 'usage', detail: `The file '${file}' holds no JSON: ${(reason as Error).message}` })
  }
  const decoded = Schema.decodeUnknownResult(schema, { errors: 'all' })(value)
  if (Result.isSuccess(decoded)) return decoded.success
  throw new CommandFailure({ exit: 'usage', detail: `The file '${file}' is wrong: ${decoded.failure.message}` })
}
