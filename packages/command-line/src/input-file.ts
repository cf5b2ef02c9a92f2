/** Reads JSON from a file or from standard input and validates it by a schema. */
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
 * Reads and validates a JSON file.
 *
 * @param file - Path of the file, or `-` for standard input.
 *
 * @throws CommandFailure with exit `usage` if the file can not be read or its content is invalid.
 * @example
 * const request = readJsonInput('job.json', JobRequest)
 */
export function readJsonInput<S extends Schema.Codec<unknown>> (file: string, schema: S): S['Type'] {
  const text = readText(file)
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    throw new CommandFailure({ exit: 'usage', detail: `The file '${file}' is not valid JSON: ${(error as Error).message}` })
  }
  const decoded = Schema.decodeUnknownResult(schema, { errors: 'all' })(value)
  if (Result.isSuccess(decoded)) return decoded.success
  throw new CommandFailure({ exit: 'usage', detail: `The file '${file}' does not match the schema: ${decoded.failure.message}` })
}
