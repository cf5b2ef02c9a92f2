/** Counts executed steps, so that a bound on the work of a call does not depend on the machine or its load. */
import { Session, type Profiler } from 'node:inspector'

/** Names of the counted sources: those whose decisions run once for each task, agent or call. */
const COUNTED_SOURCES = /packages\/(dispatching|runs|fleet-calls)\/src\//

function sumBlocks ({ functions }: Profiler.ScriptCoverage): number {
  let steps = 0
  for (const { ranges } of functions) for (const { count } of ranges) steps += count
  return steps
}

/** Counts the executions of functions and blocks of the sources; native functions count by their callbacks. */
export interface StepCounter {
  /** Returns the steps that a function takes. */
  count: (run: () => void) => number
  close: () => void
}

/**
 * Creates a counter. Only one may exist at a time.
 *
 * @example
 * const counter = createStepCounter()
 * counter.count(() => { dispatcher.tick(20) }) // 4
 */
export function createStepCounter (): StepCounter {
  const session = new Session()
  session.connect()
  session.post('Profiler.enable')
  session.post('Profiler.startPreciseCoverage', { callCount: true, detailed: true })

  /** Returns the steps since the last call. */
  function take (): number {
    let steps = 0
    session.post('Profiler.takePreciseCoverage', (failure, coverage) => {
      if (failure !== null) throw failure
      for (const script of coverage.result) if (COUNTED_SOURCES.test(script.url)) steps += sumBlocks(script)
    })
    return steps
  }

  return {
    count: run => {
      take()
      run()
      return take()
    },
    close: () => {
      session.post('Profiler.stopPreciseCoverage')
      session.disconnect()
    }
  }
}
