/**
 * One client sends a large job: many steps of one task, and a last step of many tasks that depends on all of them. Other
 * clients send small jobs to the same node all the while, and the platform checks once a second whether it is ready.
 * Without the disruption the large job has as many tasks, and its last step depends on one step only.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { observeAnswers } from '../stand-ins/silence.mjs'
import { callFront, idOf, pause, runCase } from '../stand-ins/site.mjs'

const FIRST_STEPS = 400
const LAST_TASKS = 1_600
/** Longest time of the observation after the large job was sent. */
const OBSERVED_MILLISECONDS = 40_000

/** `TROUBLE=0` plays the case without its disruption. */
const isDisrupted = process.env.TROUBLE !== '0'

await runCase(dirname(fileURLToPath(import.meta.url)), isDisrupted, async ({ record, start }) => {
  const site = await start({ fronts: 2, sides: 4 })
  await site.waitUntilReady()
  const [entry] = site.entries
  const observation = observeAnswers(site, entry, record)
  await pause(3_000)
  const size = { cpu: 400, requested_memory_mb: 16 }
  const steps = Array.from({ length: FIRST_STEPS }, () => ({ count: 1, ...size, estimated_ms: 300 }))
  const allSteps = Array.from({ length: FIRST_STEPS }, (_, number) => number)
  steps.push({ count: LAST_TASKS, ...size, estimated_ms: 300, depends_on: isDisrupted ? allSteps : [0] })
  const body = { specification: JSON.stringify({ ms: 300 }), steps, best_effort: true }
  const id = idOf(0x3c0e7a01)
  record(`large client: POST ${id}, a job with ${FIRST_STEPS + LAST_TASKS} tasks in ${steps.length} steps, ${JSON.stringify(body).length} bytes, to ${entry.name}`)
  const large = callFront(entry, 'POST', id, { body, deadline: 60_000 })
    .then(answer => { record(`large client: POST ${id} answered ${answer.status} ${answer.body}`) })
  await Promise.race([large.then(() => pause(3_000)), pause(OBSERVED_MILLISECONDS)])
  return observation.end()
})
