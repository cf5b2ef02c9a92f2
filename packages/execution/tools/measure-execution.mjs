/**
 * Measures the agent's execution logic without sockets: processor time per task, bytes per remembered task, and
 * processor time of many withdrawals in one message.
 *
 * Run after the build: node --expose-gc packages/execution/tools/measure-execution.mjs
 */
import { createAgentIdentity, createEntryIdentity, createInvariants, createSubmissionKey, silentLogger, silentMetrics } from '@baobabpost/common'
import { createExecution } from '@baobabpost/execution'

const TASKS_PER_DISPATCH = 12
const SUBMISSION_TASKS = 2_000

function createMeasuredAgent (slots, entryCount) {
  let now = 1_700_000_000_000
  const running = []
  const entries = Array.from({ length: entryCount }, (_entry, index) => createEntryIdentity(`entry-${index}`))
  const reports = []
  let sequence = 0
  const execution = createExecution({
    identity: createAgentIdentity('agent'),
    address: '127.0.0.1:1',
    service: 's',
    failureDomain: 'd',
    slots,
    connections: slots,
    maximumQueuedTasks: 1_000_000,
    outbox: {
      send (to, message) {
        if (message.method === 'report') reports.push({ to, sequence: message.parameters.sequence })
        else if (message.method === 'announce') sequence = message.parameters.sequence
      },
      append () {}
    },
    upstream: { startTask (task) { running.push(task) }, abortTask () {}, probe () {} },
    entries: { setEntry () {}, forgetEntry () {}, sendToSeeds: message => { sequence = message.parameters.sequence } },
    invariants: createInvariants(name => { throw new Error(name) }),
    logger: silentLogger,
    metrics: silentMetrics
  })

  function renewLease () {
    now += 500
    execution.tick(now)
    const addresses = entries.map((identity, index) => ({ identity, address: `127.0.0.1:${index + 2}` }))
    execution.receive(entries[0], {
      method: 'announced',
      parameters: { sequence, standing: 'joined', entries: addresses, registers: [], configurationPosition: 0 }
    }, now)
  }

  function acknowledgeAll () {
    for (const { to, sequence: number } of reports.splice(0)) {
      execution.receive(to, { method: 'acknowledge', parameters: { sequences: [number] } }, now)
    }
  }

  return { execution, running, entries, renewLease, acknowledgeAll, now: () => now }
}

function createGroup (submission, first, count, startBefore) {
  return {
    header: { submission, digest: 'd'.repeat(64), taskCount: SUBMISSION_TASKS, customer: 'medina', template: 'lend' },
    ownership: { partition: 7, epoch: 3 },
    path: '/lend',
    timeoutMilliseconds: 5_000,
    parameters: { currency: 'XOF' },
    urgent: false,
    startBefore,
    tasks: Array.from({ length: count }, (_task, index) => ({ index: first + index, input: { tool: `drill-${index}` } }))
  }
}

/** Dispatches, completes and acknowledges tasks. Answers are parsed from text, as they are for a real upstream. */
function runTasks (agent, taskCount, tasksPerDispatch) {
  const { execution, running, entries } = agent
  let submission = createSubmissionKey(agent.now())
  let first = 0
  for (let done = 0; done < taskCount; done += tasksPerDispatch) {
    if (first + tasksPerDispatch > SUBMISSION_TASKS) {
      submission = createSubmissionKey(agent.now())
      first = 0
      agent.renewLease()
    }
    const groups = [createGroup(submission, first, tasksPerDispatch, agent.now() + 2_000)]
    first += tasksPerDispatch
    execution.receive(entries[0], { method: 'dispatch', parameters: { groups, backlog: 500 } }, agent.now())
    while (running.length > 0) {
      const task = running.pop()
      const answer = JSON.parse(`{"echo":{"tool":"drill-${task.index}"},"upstream":"one"}`)
      execution.handleResult(task.submission, task.index, { kind: 'succeeded', answer, answerBytes: 44 }, agent.now())
    }
    execution.flush(agent.now())
    agent.acknowledgeAll()
  }
}

function processorMicroseconds (work) {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

function measureTime (entryCount) {
  const agent = createMeasuredAgent(8, entryCount)
  agent.renewLease()
  runTasks(agent, 60_000, TASKS_PER_DISPATCH)
  const tasks = 240_000
  const microseconds = processorMicroseconds(() => { runTasks(agent, tasks, TASKS_PER_DISPATCH) })
  console.log(`processor time per task with ${entryCount} known entries: ${(microseconds / tasks).toFixed(2)} microseconds`)
}

function measureMemory (tasksPerSubmission) {
  const agent = createMeasuredAgent(8, 3)
  agent.renewLease()
  const tasks = 100_000
  global.gc()
  const before = process.memoryUsage().heapUsed
  for (let done = 0; done < tasks; done += tasksPerSubmission) runTasks(agent, tasksPerSubmission, tasksPerSubmission)
  global.gc()
  const bytes = (process.memoryUsage().heapUsed - before) / agent.execution.snapshot().rememberedTasks
  console.log(`bytes per remembered task with ${tasksPerSubmission} tasks per submission: ${bytes.toFixed(0)}`)
}

function measureWithdrawals (taskCount) {
  const agent = createMeasuredAgent(8, 3)
  agent.renewLease()
  const submissions = Array.from({ length: taskCount / 100 }, () => createSubmissionKey(agent.now()))
  const groups = submissions.map(submission => createGroup(submission, 0, 100, agent.now() + 2_000))
  agent.execution.receive(agent.entries[0], { method: 'dispatch', parameters: { groups, backlog: 0 } }, agent.now())
  const indexes = Array.from({ length: 100 }, (_task, index) => index)
  const selections = submissions.map(submission => ({ submission, indexes }))
  const microseconds = processorMicroseconds(() => {
    agent.execution.receive(agent.entries[0], { method: 'withdraw', parameters: { selections } }, agent.now())
    agent.execution.flush(agent.now())
  })
  console.log(`processor time of ${taskCount} withdrawals in one message and their reports: ${(microseconds / 1_000).toFixed(1)} milliseconds`)
}

measureTime(3)
measureTime(30)
for (const tasksPerSubmission of [1, 10, 160]) measureMemory(tasksPerSubmission)
measureWithdrawals(2_000)
measureWithdrawals(20_000)
