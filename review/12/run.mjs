/**
 * An executor leaves one start order unanswered and carries it out 3 s later, its time counting from its arrival. Just
 * after the order the front and the `side` machine that handled it freeze for 3.4 s. The client gets no answer, and sends
 * its job again to another front as the pages say. Counts the tasks that run twice at the same time.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { jobBody, pause, randomId, runCase, submit } from '../stand-ins-3/site.mjs'

const ROUNDS = 4
const FREEZE_MILLISECONDS = 3_400
const LATE_MILLISECONDS = 3_000
const RESEND_MILLISECONDS = 1_300
const DEADLINE_MILLISECONDS = 1_500
const TASK_MILLISECONDS = 900

/** Leaves the first start order of a job unanswered and carries it out late. Resolves to its executor when it comes. */
function delayFirstOrder (site, id) {
  return new Promise(resolve => {
    let isTaken = false
    for (const executor of site.executors) {
      executor.intercept = (path, body, deliver) => {
        if (isTaken || path !== '/run-start' || !body.task.startsWith(id)) return false
        isTaken = true
        site.record.write('order left unanswered', { executor: executor.name, task: body.task, run: body.run })
        const sentAt = executor.clock()
        const life = executor.lives
        setTimeout(() => {
          if (!executor.isUp || executor.lives !== life) return
          body.until_ms += executor.clock() - sentAt
          site.record.write('order carried out late', { executor: executor.name, task: body.task, run: body.run })
          deliver()
        }, LATE_MILLISECONDS)
        resolve(executor)
        return true
      }
    }
  })
}

async function sendUntilAnswered (site, machines, id) {
  const body = jobBody({ tasks: 1, milliseconds: TASK_MILLISECONDS })
  for (const machine of machines) {
    const { status } = await submit(site, machine, { id, body, deadline: DEADLINE_MILLISECONDS })
    if (status !== 0 && status !== 502 && status !== 504) return status
    await pause(RESEND_MILLISECONDS)
  }
  return 0
}

/** Returns the runs of a task that overlap an earlier one. */
function findOverlaps (site) {
  const rows = site.executors.flatMap(({ history }) => history)
  return rows.flatMap(row => rows
    .filter(other => other !== row && other.task === row.task && other.from <= row.from && row.from < (other.to ?? Infinity))
    .map(other => ({ task: row.task, first: other, second: row })))
}

await runCase(dirname(fileURLToPath(import.meta.url)), { entries: 4, agents: 15 }, async (site, hasTrouble) => {
  await pause(2_000)
  const statuses = []
  for (let round = 0; round < ROUNDS; round += 1) {
    const id = randomId()
    const [first, ...others] = [...site.entries.slice(round), ...site.entries.slice(0, round)]
    const ordered = hasTrouble ? delayFirstOrder(site, id) : undefined
    const answer = sendUntilAnswered(site, [first, ...others], id)
    if (ordered !== undefined) {
      const executor = await ordered
      const frozen = [first, site.agents[site.executors.indexOf(executor)]]
      for (const machine of frozen) machine.signal('SIGSTOP')
      await pause(FREEZE_MILLISECONDS)
      for (const machine of frozen) machine.signal('SIGCONT')
    }
    statuses.push(await answer)
    await pause(3_000)
  }
  const overlaps = findOverlaps(site)
  for (const overlap of overlaps) site.record.write('ran twice at the same time', overlap)
  return {
    isBroken: overlaps.length > 0,
    text: `${overlaps.length} of ${ROUNDS} tasks ran twice at the same time; the clients got ${statuses.join(' ')}`
  }
})
