/**
 * One executor of five is cut off for a second, six times: its connections are reset and new ones refused, and its tasks
 * run on. Jobs are sent all the while. Counts the tasks that run at two executors at the same time.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { jobBody, pause, randomId, runCase, submit } from '../stand-ins-3/site.mjs'

const CUTS = 6
const CUT_MILLISECONDS = 1_000
const GAP_MILLISECONDS = 3_000
const JOB_INTERVAL_MILLISECONDS = 60
const RESEND_MILLISECONDS = 1_300
const DEADLINE_MILLISECONDS = 1_500
const ATTEMPTS = 3

/** Sends a job until it has an answer that says so, each time to the next front. Returns the last status. */
async function sendJob (site, count) {
  const id = randomId()
  const body = jobBody({ tasks: 2, milliseconds: 700 })
  let status = 0
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const machine = site.entries[(count + attempt) % site.entries.length]
    status = (await submit(site, machine, { id, body, deadline: DEADLINE_MILLISECONDS })).status
    if (status !== 0 && status !== 502 && status !== 504) return status
    await pause(RESEND_MILLISECONDS)
  }
  return status
}

/** Returns the runs that begin while another run of their task is at work at another executor. */
function findOverlaps (site) {
  const byTask = new Map()
  for (const row of site.executors.flatMap(({ history }) => history)) {
    byTask.set(row.task, [...byTask.get(row.task) ?? [], row])
  }
  const overlaps = []
  for (const [task, rows] of byTask) {
    for (const second of rows) {
      for (const first of rows) {
        if (first === second || first.executor === second.executor) continue
        if (first.from > second.from || second.from >= (first.to ?? Infinity)) continue
        const milliseconds = Math.min(first.to ?? Infinity, second.to ?? Infinity) - second.from
        overlaps.push({ task, milliseconds, first, second })
      }
    }
  }
  return overlaps
}

await runCase(dirname(fileURLToPath(import.meta.url)), { entries: 2, agents: 5 }, async (site, hasTrouble) => {
  const answers = []
  const traffic = { isOpen: true }
  const sending = (async () => {
    for (let count = 0; traffic.isOpen; count += 1) {
      answers.push(sendJob(site, count))
      await pause(JOB_INTERVAL_MILLISECONDS)
    }
  })()
  await pause(2_000)
  for (let cut = 0; cut < CUTS; cut += 1) {
    if (hasTrouble) await site.executors[cut % site.executors.length].cutOffWithResets(CUT_MILLISECONDS)
    else await pause(CUT_MILLISECONDS)
    await pause(GAP_MILLISECONDS)
  }
  traffic.isOpen = false
  await sending
  const statuses = await Promise.all(answers)
  const served = statuses.filter(status => status === 200).length
  if (served < statuses.length / 4) throw new Error(`only ${served} of ${statuses.length} jobs are served`)
  const overlaps = findOverlaps(site)
  for (const overlap of overlaps) site.record.write('ran twice at the same time', overlap)
  const longest = Math.max(0, ...overlaps.map(({ milliseconds }) => milliseconds))
  return {
    isBroken: overlaps.length > 0,
    text: `${overlaps.length} tasks ran at two executors at the same time, for up to ${longest} ms; ` +
      `${served} of ${statuses.length} jobs served`
  }
})
