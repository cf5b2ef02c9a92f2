/** Simulated upstreams that record each start in the run log and answer after a random delay. */
import type { Random } from '@baobabpost/common'
import type { TaskRequest, TaskResult } from '@baobabpost/execution'
import type { RunLog } from './run-log.js'

/** Outcome of a request to an upstream. */
export type RequestOutcome = 'answer' | 'answer-lost' | 'fail' | 'refuse-connection'

/** A request in progress at an upstream. */
interface RunningCall {
  readonly submission: string
  readonly index: number
  readonly result: TaskResult
  readonly dueAt: number
}

export interface SimulatedUpstream {
  /** Outcome of the requests that start from now on. */
  requestOutcome: RequestOutcome
  startTask: (request: TaskRequest, now: number) => void
  abortTask: (submission: string, index: number) => void
  /** Removes and returns the requests that have completed. */
  takeCompleted: (now: number) => readonly RunningCall[]
}

/** Creates an upstream. `runMilliseconds` returns the maximum run time of the next request. */
export function createSimulatedUpstream (
  random: Random, runLog: RunLog, runMilliseconds: () => number
): SimulatedUpstream {
  let running: RunningCall[] = []
  const aborted = new Set<string>()

  function resultOf (request: TaskRequest): TaskResult {
    switch (upstream.requestOutcome) {
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
    requestOutcome: 'answer',
    startTask (request, now) {
      const { submission, index, input } = request
      const result = resultOf(request)
      const call = typeof input.call === 'string' ? input.call : undefined
      if (result.kind !== 'unreached') runLog.recordStart(submission, index, call, now)
      running.push({ submission, index, result, dueAt: now + 1 + random.below(runMilliseconds()) })
    },
    abortTask: (submission, index) => { aborted.add(`${submission}/${index}`) },
    takeCompleted (now) {
      if (running.length === 0) return running
      const completed: RunningCall[] = []
      const stillRunning: RunningCall[] = []
      for (const call of running) {
        if (aborted.delete(`${call.submission}/${call.index}`)) completed.push({ ...call, result: { kind: 'silent' } })
        else (call.dueAt <= now ? completed : stillRunning).push(call)
      }
      running = stillRunning
      return completed
    }
  }
  return upstream
}
