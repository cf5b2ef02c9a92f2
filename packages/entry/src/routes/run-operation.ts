/** Runs an operation on a submission for a caller and turns its result into an HTTP answer. */
import { authorizeCustomer, type Principal } from '@baobabpost/access'
import type { SubmissionKey } from '@baobabpost/common'
import type { ForwardedOperation, OperationResult, SubmissionAnswer } from '@baobabpost/messages'
import { answerProblem } from '../http/caller-server.js'
import type { Exchange, HttpAnswer } from '../http/route.js'
import type { EntryCore } from '../entry-core.js'

export interface CoreRouteOptions {
  readonly core: EntryCore
  readonly now: () => number
}

/** An operation decoded from a request. */
export interface DecodedOperation {
  readonly submission: SubmissionKey
  readonly customer: string
  readonly operation: ForwardedOperation
  readonly waitUntil: number
}

function answerSubmission (answer: SubmissionAnswer): HttpAnswer {
  const status = answer.state === 'running' ? 202 : 200
  const { retryAfterMilliseconds } = answer
  return retryAfterMilliseconds === undefined
    ? { status, body: answer }
    : { status, body: answer, retryAfterMilliseconds }
}

function answerResult (result: OperationResult): HttpAnswer {
  switch (result.kind) {
    case 'answer':
      return answerSubmission(result.answer)
    case 'explanation':
      return { status: 200, body: result.explanation }
    case 'problem':
      return answerProblem(result.problem)
  }
}

/**
 * Returns the customer on whose behalf the request acts: the caller's own, or the one that an operator names in
 * `?customer=`.
 */
export function customerOf (exchange: Exchange): string {
  const principal = exchange.principal as Principal
  if (principal.role === 'caller') return principal.subject
  return exchange.query.get('customer') ?? principal.subject
}

/** Runs an operation; it is abandoned when the caller disconnects. */
export function runOperation (
  options: CoreRouteOptions, exchange: Exchange, operation: DecodedOperation
): Promise<HttpAnswer> {
  const fault = authorizeCustomer(exchange.principal as Principal, operation.customer)
  if (fault !== undefined) throw fault
  return new Promise(resolve => {
    const id = options.core.beginOperation(
      { ...operation, answer: result => { resolve(answerResult(result)) } }, options.now())
    exchange.signal.addEventListener('abort', () => { options.core.abandonOperation(id) }, { once: true })
  })
}
