/** Upstreams that count what starts at them and answer after a while. */
import type { Random } from '@baobabpost/common'
import type { TaskRequest, TaskResult } from '@baobabpost/execution'
import type { RunLog } from './run-log.js'

/** What happens to a request at an upstream. */
export type RequestOutcome = 'answer' | 'answer-lost' | 'fail' | 'refuse-connection'

/** A call that an upstream is working on. */
interface RunningCall {
  readonly submission: string
  readonly index: number
  readonly result: TaskResult
  readonly dueAt: number
}

/** One upstream, as its agent sees it. */
export interface SimulatedUpstream {
  /** Decides about each request. */
  fate: RequestOutcome
  startTask: (request: TaskRequest, now: number) => void
  abortTask: (submission: string, index: number) => void
  /** Takes out the calls that ended. */
  takeEnded: (now: number) => readonly RunningCall[]
}

/** Makes an upstream. */
export function createSimulatedUpstream (random: Random, ledger: RunLog, runMilliseconds: () => number): SimulatedUpstream {
  let running: RunningCall[] = []
  const aborted = new Set<string>()

  function resultOf (request: TaskRequest): TaskResult {
    switch (upstream.fate) {
      case 'answer': {
        const { place, call } = request.input
        return { kind: 'succeeded', answer: { submission: request.submission, place, call }, answerBytes: 80 }
      }
      case 'answer-lost':
        return { kind: 'silent' }
      case 'fail':
        return { kind: 'failed', detail: 'The drill is gone' }
      case 'refuse-connection':
        return { kind: 'unreached' }
    }
  }

  const upstream: SimulatedUpstream = {
    fate: 'answer',
    startTask (request, now) {
      const { submission, index, input } = request
      const result = resultOf(request)
      const call = typeof input.call === 'string' ? input.call : undefined
      if (result.kind !== 'unreached') ledger.started(submission, index, call, now)
      running.push({ submission, index, result, dueAt: now + 1 + random.below(runMilliseconds()) })
    },
    abortTask: (submission, index) => { aborted.add(`${submission}/${index}`) },
    takeEnded (now) {
      if (running.length === 0) return running
      const ended: RunningCall[] = []
      const left: RunningCall[] = []
      for (const call of running) {
        if (aborted.delete(`${call.submission}/${call.index}`)) ended.push({ ...call, result: { kind: 'silent' } })
        else (call.dueAt <= now ? ended : left).push(call)
      }
      running = left
      return ended
    }
  }
  return upstream
}
