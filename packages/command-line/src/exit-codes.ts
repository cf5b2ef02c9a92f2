/** Closed list of the exit codes of the command line, and the exit code for each error kind. */
import type { ErrorKind } from '@baobabpost/common'

/** Exit codes with their meanings, by name. */
export const EXIT_CODES = {
  done: { code: 0, about: 'Done' },
  fault: { code: 1, about: 'A fault inside the command line or the system' },
  usage: { code: 2, about: 'Wrong usage: a wrong argument, flag or file, or a request that can not be run as it stands' },
  unreachable: { code: 3, about: 'The entry could not be reached, or its answer could not be read' },
  refused: { code: 4, about: 'The access key was refused' },
  unknown: { code: 5, about: 'What was named is not known' },
  conflict: { code: 6, about: 'Conflict: the configuration changed meanwhile, or the submission key was used before' },
  'not-run': { code: 7, about: 'Not run; the same command may be repeated' },
  'outcome-unknown': { code: 8, about: 'It can not be told whether it ran; ask again under the same submission key' },
  failed: { code: 9, about: 'It ran and failed' },
  unfinished: { code: 10, about: 'Not finished within the time that --wait allows' }
} as const

export type ExitName = keyof typeof EXIT_CODES

const EXIT_BY_ERROR_KIND: Readonly<Record<ErrorKind, ExitName>> = {
  'malformed-request': 'usage',
  unauthenticated: 'refused',
  forbidden: 'refused',
  'unknown-route': 'usage',
  'unknown-submission': 'unknown',
  'request-timeout': 'not-run',
  'key-conflict': 'conflict',
  'version-conflict': 'conflict',
  'key-expired': 'conflict',
  'too-large': 'usage',
  'not-run-invalid': 'usage',
  'not-run': 'not-run',
  'upstream-failed': 'failed',
  'outcome-unknown': 'outcome-unknown',
  internal: 'fault'
}

/**
 * Returns the name of the exit code for an error answer of an entry.
 *
 * @example
 * exitNameForErrorKind('version-conflict') // 'conflict'
 */
export function exitNameForErrorKind (kind: ErrorKind): ExitName {
  return EXIT_BY_ERROR_KIND[kind]
}
