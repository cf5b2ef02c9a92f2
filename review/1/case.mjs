/**
 * A client sends a job of 2,000 tasks. While they run, one executor of eight crashes. Other clients send small jobs to the
 * same node all the while, and the platform checks once a second whether it is ready. Without the disruption no executor
 * crashes.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { observeAnswers } from '../stand-ins/silence.mjs'
import { callFront, idOf, pause, runCase } from '../stand-ins/site.mjs'

const TASKS = 2_000
const RUN_MILLISECONDS = 6_000
const DOWN_MILLISECONDS = 4_000
const DEADLINE_MILLISECONDS = 30_000

/** `TROUBLE=0` plays the case without its disruption. */
const isDisrupted = process.env.TROUBLE !== '0'

await runCase(dirname(fileURLToPath(import.meta.url)), isDisrupted, async ({ record, start }) => {
  const site = await start({ fronts: 2, sides: 8, hasThreads: true })
  await site.waitUntilReady()
  const [entry] = site.entries
  const observation = observeAnswers(site, entry, record)
  await pause(3_000)
  const step = { count: TASKS, cpu: 50, requested_memory_mb: 16, estimated_ms: RUN_MILLISECONDS }
  const body = { specification: JSON.stringify({ ms: RUN_MILLISECONDS }), steps: [step], best_effort: true }
  const id = idOf(0x1c0e7a01)
  record(`large client: POST ${id}, a job with ${TASKS} tasks, to ${entry.name}`)
  const large = callFront(entry, 'POST', id, { body, deadline: DEADLINE_MILLISECONDS })
    .then(answer => { record(`large client: POST ${id} answered ${answer.status} ${answer.body}`) })
  const countStarts = () => site.executors.reduce((sum, executor) => sum + executor.startCount(), 0)
  for (let waited = 0; waited < 4_000 && countStarts() < TASKS; waited += 100) await pause(100)
  const busiest = [...site.executors].sort((left, right) => right.runningCount() - left.runningCount())[0]
  record(`${countStarts()} tasks have started, ${busiest.runningCount()} of them on ${busiest.machine}`)
  if (isDisrupted) busiest.crash(DOWN_MILLISECONDS)
  await large
  await pause(2_000)
  return observation.end()
})
