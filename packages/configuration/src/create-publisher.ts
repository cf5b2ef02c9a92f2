/** Publishes configuration: checked first, appended once, answered by what the log says. */
import { canonicalJson } from '@baobabpost/common'
import { createProblem, NEVER_WRITTEN_VERSION, type LogRecord } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'
import type { Configuration } from './configuration.js'
import { findPublicationFault } from './publication-fault.js'
import type { Publication, Publisher, PublishResult } from './publisher.js'

/** Time after which a publication that the log did not show is answered with `outcome-unknown`. */
export const PUBLISH_TIMEOUT_MILLISECONDS = 5_000
/** When to repeat a publication whose outcome is unknown. */
const RETRY_AFTER_MILLISECONDS = 1_000
/** Publications without an answer at one process. */
const MAXIMUM_PENDING_PUBLICATIONS = 1_000

/** Ports of a publisher. */
export interface PublisherOptions {
  readonly projection: Pick<RegisterProjection, 'read'>
  readonly history: Configuration['history']
  /** Appends a record and gives its nonce. */
  readonly append: (changes: LogRecord['changes']) => string
}

type Answer = (result: PublishResult) => void

interface Pending {
  readonly publication: Publication
  readonly nonce: string
  /** Same for publications that are the same. */
  readonly key: string
  readonly answers: Answer[]
  readonly answerBefore: number
}

function keyOf (publication: Publication): string {
  return `${publication.register} ${publication.replaces} ${canonicalJson(publication.value)}`
}

/**
 * Makes a publisher.
 *
 * @example
 * publisher.publish({ register: 'team/medina', value: team, replaces: 0 }, Date.now(), result => { reply(result) })
 */
export function createPublisher (options: PublisherOptions): Publisher {
  const { projection: projection, history, append } = options
  const byNonce = new Map<string, Pending>()
  const byKey = new Map<string, Pending>()
  let refused: Pending[] = []

  function versionOf (register: string): number {
    return projection.read(register)?.version ?? NEVER_WRITTEN_VERSION
  }

  function problem (register: string, kind: 'malformed-request' | 'version-conflict', detail: string): PublishResult {
    return { kind: 'problem', register, version: versionOf(register), problem: createProblem(kind, detail) }
  }

  function unknown (register: string, detail: string): PublishResult {
    const fields = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }
    const told = createProblem('outcome-unknown', detail, fields)
    return { kind: 'problem', register, version: versionOf(register), problem: told }
  }

  /** The version that this publication already brought about, by any process. */
  function heldBefore (publication: Publication): number | undefined {
    for (const { version, previousVersion, value } of history(publication.register)) {
      if (previousVersion !== publication.replaces) continue
      return canonicalJson(value) === canonicalJson(publication.value) ? version : undefined
    }
    return undefined
  }

  function judge (publication: Publication): PublishResult | undefined {
    const { register, replaces } = publication
    const fault = findPublicationFault(publication)
    if (fault !== undefined) return problem(register, 'malformed-request', fault)
    const version = versionOf(register)
    if (version === replaces) return undefined
    const held = heldBefore(publication)
    if (held !== undefined) return { kind: 'held', register, version: held }
    if (replaces > version) return unknown(register, `This process knows '${register}' only up to version ${version}`)
    return problem(register, 'version-conflict', `'${register}' is at version ${version}, not ${replaces}`)
  }

  function answer (pending: Pending, result: PublishResult): void {
    byNonce.delete(pending.nonce)
    byKey.delete(pending.key)
    for (const reply of pending.answers) reply(result)
  }

  /** Lets the reply wait for the same publication, if there is one. */
  function join (publication: Publication, reply: Answer): boolean {
    const pending = byKey.get(keyOf(publication))
    pending?.answers.push(reply)
    return pending !== undefined
  }

  function settle (pending: Pending): void {
    const { register, replaces } = pending.publication
    const held = heldBefore(pending.publication)
    if (held !== undefined) {
      answer(pending, { kind: 'held', register, version: held })
      return
    }
    const detail = `'${register}' is at version ${versionOf(register)}, not ${replaces}`
    answer(pending, problem(register, 'version-conflict', detail))
  }

  /** Looks at refused writes once the changes of their batch are in the history: an equal one may have held. */
  function settleRefused (): void {
    for (const pending of refused) {
      if (byNonce.has(pending.nonce)) settle(pending)
    }
    refused = []
  }

  return {
    publish (publication, now, reply) {
      const judged = judge(publication)
      if (judged !== undefined) {
        reply(judged)
        return
      }
      if (join(publication, reply)) return
      if (byNonce.size >= MAXIMUM_PENDING_PUBLICATIONS) {
        reply(unknown(publication.register, 'Too many publications wait for the log'))
        return
      }
      const nonce = append([{ kind: 'write', ...publication }])
      const key = keyOf(publication)
      const pending = { publication, nonce, key, answers: [reply], answerBefore: now + PUBLISH_TIMEOUT_MILLISECONDS }
      byNonce.set(nonce, pending)
      byKey.set(key, pending)
    },
    handleWriteOutcomes (outcomes) {
      for (const { nonce, isApplied: isApplied, version } of outcomes) {
        const pending = byNonce.get(nonce)
        if (pending === undefined) continue
        if (isApplied) answer(pending, { kind: 'held', register: pending.publication.register, version })
        else refused.push(pending)
      }
    },
    answerRefusedPublications: settleRefused,
    tick (now) {
      settleRefused()
      for (const pending of [...byNonce.values()]) {
        if (now < pending.answerBefore) return
        const { register } = pending.publication
        answer(pending, unknown(register, `The log has not shown yet whether '${register}' was published`))
      }
    },
    pendingCount: () => byNonce.size
  }
}
