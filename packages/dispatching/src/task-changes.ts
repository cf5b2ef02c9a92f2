/** Changes of the state of tasks, which keep the counts of their job and the index of the assigned tasks. */
import type { DispatcherState } from './dispatcher-state.js'
import type { Assignment, Job, JobTask, TaskOfJob } from './job.js'

function addWaitingTask ({ progress }: Job, task: JobTask): void {
  task.state = 'waiting'
  progress.waiting.add(task)
  progress.longestWaitingMilliseconds = undefined
  if (task.mayHaveStarted) progress.startedWaitingCount += 1
}

function removeWaitingTask ({ progress }: Job, task: JobTask): void {
  if (!progress.waiting.delete(task)) return
  progress.longestWaitingMilliseconds = undefined
  if (task.mayHaveStarted) progress.startedWaitingCount -= 1
}

/** Records that a run of a task has ended or may have started. */
export function recordStart ({ progress }: Job, task: JobTask): void {
  if (task.mayHaveStarted) return
  task.mayHaveStarted = true
  progress.hasStarted = true
  if (task.state === 'waiting') progress.startedWaitingCount += 1
}

function countAtAgent (job: Job, { step, stepNumber }: JobTask, agent: string, change: number): void {
  if (step.maximumPerUpstream === undefined) return
  const counts = job.progress.steps[stepNumber]?.assignedByAgent
  counts?.set(agent, (counts.get(agent) ?? 0) + change)
}

/** Assigns a waiting task. */
export function assignTask (state: DispatcherState, { job, task }: TaskOfJob, assignment: Assignment): void {
  removeWaitingTask(job, task)
  task.state = 'assigned'
  task.assignment = assignment
  job.progress.assignedCount += 1
  countAtAgent(job, task, assignment.agent, 1)
  state.assigned.add({ job, task })
  if (state.crashes.crashCountOf(task.name) > 0) state.suspects.add(assignment.agent, task.name)
}

/** Ends the assignment of a task, whose state is then to be changed. */
function unassignTask (state: DispatcherState, { job, task }: TaskOfJob): void {
  if (task.assignment === undefined) return
  state.assigned.remove(task)
  state.suspects.remove(task.assignment.agent, task.name)
  countAtAgent(job, task, task.assignment.agent, -1)
  task.assignment = undefined
  job.progress.assignedCount -= 1
}

/** Ends the assignment of a task that then waits again. */
export function returnTask (state: DispatcherState, assignedTask: TaskOfJob): void {
  unassignTask(state, assignedTask)
  addWaitingTask(assignedTask.job, assignedTask.task)
}

/** Ends a task: it was done, or is not to run any more. Ends its assignment, if it has one. */
export function endTask (state: DispatcherState, { job, task }: TaskOfJob): void {
  unassignTask(state, { job, task })
  removeWaitingTask(job, task)
  if (task.state === 'done') return
  task.state = 'done'
  job.progress.openCount -= 1
  const step = job.progress.steps[task.stepNumber]
  if (step !== undefined) step.openCount -= 1
}

/**
 * Lets the tasks wait that depended on the step of a task which was done, if it was the last one of the step.
 *
 * @returns whether there are any.
 */
export function unblockDependents (job: Job, { stepNumber }: JobTask): boolean {
  const step = job.progress.steps[stepNumber]
  if (step === undefined || step.openCount > 0) return false
  let hasUnblocked = false
  for (const dependent of step.dependents) {
    dependent.openDependencyCount -= 1
    if (dependent.openDependencyCount > 0) continue
    for (const task of dependent.tasks) addWaitingTask(job, task)
    hasUnblocked = true
  }
  return hasUnblocked
}
