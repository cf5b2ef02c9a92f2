/** Publishes configuration: checks it, appends it once, and answers when the log shows the outcome. */
import { canonicalJson } from '@baobabpost/common'
import { createProblem, NEVER_WRITTEN_VERSION, type LogRecord } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'
import type { Configuration } from './configuration.js'
import { findPublicationFault } from './publication-fault.js'
import type { Publication, Publisher, PublishResult } from './publisher.js'

/** Time after which a publication that has not appeared on the log is answered with `outcome-unknown`. */
export const PUBLISH_TIMEOUT_MILLISECONDS = 5_000
/** Delay that the answer suggests before repeating a publication whose outcome is unknown. */
const RETRY_AFTER_MILLISECONDS = 1_000
/** Maximum number of unanswered publications at one process. */
const MAXIMUM_PENDING_PUBLICATIONS = 1_000

export interface PublisherOptions {
  readonly projection: Pick<RegisterProjection, 'read'>
  readonly history: Configuration['history']
  /** Appends a record and returns its nonce. */
  readonly append: (changes: LogRecord['changes']) => string
}

type Reply = (result: PublishResult) => void

interface PendingPublication {
  readonly publication: Publication
  readonly nonce: string
  /** Equal for publications of the same value over the same version of a register. */
  readonly key: string
  readonly replies: Reply[]
  readonly expiresAt: number
}

function createKey (publication: Publication): string {
  return `${publication.register} ${publication.replaces} ${canonicalJson(publication.value)}`
}

/**
 * @example
 * publisher.publish({ register: 'team/medina', value: team, replaces: 0 }, Date.now(), result => { reply(result) })
 */
export function createPublisher (options: PublisherOptions): Publisher {
  const { projection, history, append } = options
  const byNonce = new Map<string, PendingPublication>()
  const byKey = new Map<string, PendingPublication>()
  let refusedPublications: PendingPublication[] = []

  function versionOf (register: string): number {
    return projection.read(register)?.version ?? NEVER_WRITTEN_VERSION
  }

  function problemResult (register: string, kind: 'malformed-request' | 'version-conflict', detail: string): PublishResult {
    return { kind: 'problem', register, version: versionOf(register), problem: createProblem(kind, detail) }
  }

  function unknownResult (register: string, detail: string): PublishResult {
    const fields = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS }
    const unknownProblem = createProblem('outcome-unknown', detail, fields)
    return { kind: 'problem', register, version: versionOf(register), problem: unknownProblem }
  }

  /** Returns the version that an equal write created earlier, by this or any other process. */
  function findHeldVersion (publication: Publication): number | undefined {
    for (const { version, previousVersion, value } of history(publication.register)) {
      if (previousVersion !== publication.replaces) continue
      return canonicalJson(value) === canonicalJson(publication.value) ? version : undefined
    }
    return undefined
  }

  /** Returns an answer that is known without an append, or undefined if the publication has to be appended. */
  function checkPublication (publication: Publication): PublishResult | undefined {
    const { register, replaces } = publication
    const fault = findPublicationFault(publication)
    if (fault !== undefined) return problemResult(register, 'malformed-request', fault)
    const version = versionOf(register)
    if (version === replaces) return undefined
    const held = findHeldVersion(publication)
    if (held !== undefined) return { kind: 'held', register, version: held }
    if (replaces > version) return unknownResult(register, `This process knows '${register}' only up to version ${version}`)
    return problemResult(register, 'version-conflict', `'${register}' is at version ${version}, not ${replaces}`)
  }

  function answer (pending: PendingPublication, result: PublishResult): void {
    byNonce.delete(pending.nonce)
    byKey.delete(pending.key)
    for (const reply of pending.replies) reply(result)
  }

  /** Adds the reply to an equal pending publication; returns whether there is one. */
  function joinPending (publication: Publication, reply: Reply): boolean {
    const pending = byKey.get(createKey(publication))
    pending?.replies.push(reply)
    return pending !== undefined
  }

  function answerRefused (pending: PendingPublication): void {
    const { register, replaces } = pending.publication
    const held = findHeldVersion(pending.publication)
    if (held !== undefined) {
      answer(pending, { kind: 'held', register, version: held })
      return
    }
    const detail = `'${register}' is at version ${versionOf(register)}, not ${replaces}`
    answer(pending, problemResult(register, 'version-conflict', detail))
  }

  /**
   * Answers publications whose write was refused. Runs once the history holds the changes of their batch, because an
   * equal write may have been applied before.
   */
  function answerRefusedPublications (): void {
    for (const pending of refusedPublications) {
      if (byNonce.has(pending.nonce)) answerRefused(pending)
    }
    refusedPublications = []
  }

  return {
    publish (publication, now, reply) {
      const immediateResult = checkPublication(publication)
      if (immediateResult !== undefined) {
        reply(immediateResult)
        return
      }
      if (joinPending(publication, reply)) return
      if (byNonce.size >= MAXIMUM_PENDING_PUBLICATIONS) {
        reply(unknownResult(publication.register, 'Too many publications wait for the log'))
        return
      }
      const nonce = append([{ kind: 'write', ...publication }])
      const key = createKey(publication)
      const pending = { publication, nonce, key, replies: [reply], expiresAt: now + PUBLISH_TIMEOUT_MILLISECONDS }
      byNonce.set(nonce, pending)
      byKey.set(key, pending)
    },
    handleWriteOutcomes (outcomes) {
      for (const { nonce, isApplied: isApplied, version } of outcomes) {
        const pending = byNonce.get(nonce)
        if (pending === undefined) continue
        if (isApplied) answer(pending, { kind: 'held', register: pending.publication.register, version })
        else refusedPublications.push(pending)
      }
    },
    answerRefusedPublications,
    tick (now) {
      answerRefusedPublications()
      for (const pending of [...byNonce.values()]) {
        if (now < pending.expiresAt) return
        const { register } = pending.publication
        answer(pending, unknownResult(register, `The log has not shown yet whether '${register}' was published`))
      }
    },
    pendingCount: () => byNonce.size
  }
}
