/**
 * Publishes configuration through the platform's log.
 *
 * Whether a publication took effect is told by the fold alone, never by the acknowledgement of an append. A record is
 * never appended blindly a second time: the client of the log settles a doubtful append by reading, and a repetition
 * by an operator names the same version, so that at most one of the two takes effect.
 */
import { canonicalJson } from '@baobabpost/common'
import {
  createProblem, NEVER_WRITTEN, REGISTER_SCHEMAS, type LogRecord, type Problem, type RegisterKind
} from '@baobabpost/messages'
import type { RegisterFold } from '@baobabpost/platform-log'
import { Result, Schema } from 'effect'
import type { Publication, Publisher, PublishResult } from './publisher.js'

const DEFAULT_ANSWER_MILLISECONDS = 5_000
const RETRY_AFTER_MILLISECONDS = 2_000

/** What a publisher works with. */
export interface PublisherOptions {
  readonly fold: Pick<RegisterFold, 'read'>
  /** Appends a record and gives its nonce. */
  readonly append: (changes: LogRecord['changes']) => string
  /** Time after which a publication without a result is answered `outcome-unknown`. */
  readonly answerMilliseconds?: number
}

interface PendingPublication {
  readonly publication: Publication
  readonly nonce: string
  readonly startedAt: number
  readonly answers: Array<(result: PublishResult) => void>
}

type Answer = (result: PublishResult) => void

function samePublication (left: Publication, right: Publication): boolean {
  return left.register === right.register && left.replaces === right.replaces &&
    canonicalJson(left.value) === canonicalJson(right.value)
}

/** Why a value can't be published, or undefined where it can. */
function findFault (publication: Publication): string | undefined {
  const slash = publication.register.indexOf('/')
  const kind = publication.register.slice(0, slash)
  const name = publication.register.slice(slash + 1)
  if (!(kind in REGISTER_SCHEMAS)) return `There is no kind of register '${kind}'`
  if (publication.value === null) return undefined
  const schema = REGISTER_SCHEMAS[kind as RegisterKind] as Schema.Codec<unknown>
  const decoded = Schema.decodeUnknownResult(schema, { onExcessProperty: 'error' })(publication.value)
  if (Result.isFailure(decoded)) return decoded.failure.message.replaceAll(/\s+/g, ' ')
  const named = decoded.success as { readonly name?: string }
  return named.name === name ? undefined : `The value is named '${named.name ?? ''}', the register '${name}'`
}

/**
 * Makes a publisher.
 *
 * @example
 * publisher.publish({ register: 'team/medina', value, replaces: 0 }, now, result => { answer(result) })
 */
export function createPublisher (options: PublisherOptions): Publisher {
  const { fold } = options
  const answerMilliseconds = options.answerMilliseconds ?? DEFAULT_ANSWER_MILLISECONDS
  const pending = new Map<string, PendingPublication>()
  /** Version that the present value of a register replaced, as far as this process saw it. */
  const inForceBase = new Map<string, number>()

  function versionOf (register: string): number {
    return fold.read(register)?.version ?? NEVER_WRITTEN
  }

  function problem (register: string, body: Problem): PublishResult {
    return { kind: 'problem', register, version: versionOf(register), problem: body }
  }

  function conflict (publication: Publication): PublishResult {
    const version = versionOf(publication.register)
    const detail = `The register has version ${version}, not ${publication.replaces}`
    return problem(publication.register, createProblem('version-conflict', detail))
  }

  /** Whether exactly this was published against the same base before. */
  function isInForce ({ register, value, replaces }: Publication): boolean {
    const found = fold.read(register)
    if (found === undefined || found.version <= replaces) return false
    return inForceBase.get(register) === replaces && canonicalJson(found.value) === canonicalJson(value)
  }

  function finish (publication: PendingPublication, result: PublishResult): void {
    pending.delete(publication.nonce)
    for (const answer of publication.answers) answer(result)
  }

  function join (publication: Publication, answer: Answer): boolean {
    for (const waiting of pending.values()) {
      if (!samePublication(waiting.publication, publication)) continue
      waiting.answers.push(answer)
      return true
    }
    return false
  }

  return {
    publish (publication, now, answer) {
      const { register, value, replaces } = publication
      const fault = findFault(publication)
      if (fault !== undefined) {
        answer(problem(register, createProblem('malformed-request', fault)))
        return
      }
      if (isInForce(publication)) {
        answer({ kind: 'held', register, version: versionOf(register) })
        return
      }
      if (versionOf(register) !== replaces) {
        answer(conflict(publication))
        return
      }
      if (join(publication, answer)) return
      const nonce = options.append([{ kind: 'write', register, replaces, value }])
      pending.set(nonce, { publication, nonce, startedAt: now, answers: [answer] })
    },

    settled (outcomes) {
      for (const { nonce, register, held, version } of outcomes) {
        const publication = pending.get(nonce)
        if (publication === undefined) continue
        finish(publication, held ? { kind: 'held', register, version } : conflict(publication.publication))
      }
    },

    changed (changes) {
      for (const { register, previousVersion } of changes) inForceBase.set(register, previousVersion)
    },

    tick (now) {
      for (const publication of pending.values()) {
        if (now < publication.startedAt + answerMilliseconds) continue
        const detail = 'The log did not tell in time whether the publication took effect; publish the same again'
        finish(publication, problem(publication.publication.register, createProblem('outcome-unknown', detail, {
          retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS
        })))
      }
    },

    pending: () => pending.size
  }
}
