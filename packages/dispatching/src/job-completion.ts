/** Ends of tasks and of jobs: answers, stops of what is no longer wanted, and jobs that were sent again. */
import type { AgentView } from './agent-view.js'
import type { DispatcherPorts, DispatcherState } from './dispatcher-state.js'
import type { Job, JobAnswer, JobTask } from './job.js'

/** Answers a job, and has stopped what still runs of it. */
export function answerJob (
  state: DispatcherState, ports: DispatcherPorts, job: Job, answer: JobAnswer, now: number
): void {
  if (job.answered) return
  job.answered = true
  const { request } = job
  ports.logger.info('job answered', {
    job: request.id,
    route: request.route,
    outcome: answer.kind,
    reason: 'reason' in answer ? answer.reason : '',
    milliseconds: Math.round(now - request.arrivedAt),
    objective: Math.round(job.objectiveMilliseconds)
  })
  job.answer(answer)
  stopTasks(state, ports, job.tasks)
  settleJob(state, job)
}

/** Has the runs of tasks stopped; their ends come as reports. */
export function stopTasks (
  state: DispatcherState, ports: DispatcherPorts, tasks: readonly JobTask[]
): void {
  const byAgent = new Map<AgentView, Array<{ task: string, run: number }>>()
  for (const task of tasks) {
    if (task.state === 'waiting' || task.state === 'blocked') task.state = 'done'
    if (task.state !== 'assigned' || task.assignment === undefined) continue
    task.state = 'stopping'
    const view = state.agents.get(task.assignment.agent)
    if (view === undefined) continue
    const runs = byAgent.get(view) ?? []
    runs.push({ task: task.name, run: task.assignment.run })
    byAgent.set(view, runs)
  }
  for (const [view, runs] of byAgent) {
    ports.sendStop(view, {
      caller: { entry: state.entry, incarnation: state.incarnation, heardAt: view.heardAt }, runs
    })
  }
}

/** Forgets a job once it is answered and nothing of it runs; then the same job, sent again, has its turn. */
export function settleJob (state: DispatcherState, job: Job): void {
  if (!job.answered) return
  for (const task of job.tasks) {
    if (task.assignment !== undefined) return
  }
  if (state.jobs.get(job.request.id) !== job) return
  state.jobs.delete(job.request.id)
  if (job.successor === undefined || job.successor.answered) return
  state.jobs.set(job.request.id, job.successor)
  state.waiting.push(job.successor)
}
