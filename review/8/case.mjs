/** ROUTE: an order that was made for an executor's former life starts at the next one, of another kind. See claim.txt. */
import { pause, runCase, startSite } from '../stand-ins-2/site.mjs'

/** A lost packet is sent again after 200 ms at the earliest. */
const RETRANSMISSION_MILLISECONDS = 210
const DOWN_MILLISECONDS = 80
const ROUNDS = 5
const EXECUTORS = 8

await runCase(import.meta.dirname, async ({ record, isTroubled }) => {
  /** Whether the next packet from side-1 to front-1 is lost, and when it is sent again. */
  let isLosing = false
  let sentAgainAt = -Infinity
  const held = index => {
    if (isLosing && index === 0) {
      isLosing = false
      sentAgainAt = performance.now() + RETRANSMISSION_MILLISECONDS
      record('link: a packet from side-1 to front-1 is lost')
    }
    return index === 0 ? Math.max(0, sentAgainAt - performance.now()) : 0
  }
  const site = await startSite({
    record,
    // One executor of eight is of kind a at first.
    executors: Array.from({ length: EXECUTORS }, (_, index) => ({ labels: [index === 0 ? 'a' : 'b'] })),
    // The links of a zone to the others lose packets.
    sideZone: 'dakar-b',
    held
  })
  try {
    let lastJob = 0
    const jobs = []
    const submit = () => {
      lastJob += 1
      jobs.push(site.submit(0, `00000000000c${String(lastJob).padStart(4, '0')}`, {
        steps: [{ count: 1, cpu: 3_000, requested_memory_mb: 64, estimated_ms: 150, requirements: 'a' }],
        ms: 150,
        deadline: 1_500
      }))
    }
    let [executor] = site.lives
    for (let round = 1; round <= ROUNDS; round += 1) {
      record(`round ${round}`)
      for (let count = 0; count < 10; count += 1) {
        submit()
        await pause(60)
      }
      isLosing = isTroubled
      await executor.crash()
      await pause(DOWN_MILLISECONDS)
      executor = await site.createExecutor(0, { labels: ['b'] }).start()
      for (let count = 0; count < 8; count += 1) {
        submit()
        await pause(40)
      }
      await pause(2_000)
      await executor.crash('ends')
      await pause(500)
      executor = await site.createExecutor(0, { labels: ['a'] }).start()
      await pause(2_000)
    }
    await Promise.all(jobs)
    const wrong = site.events.filter(({ kind, labels }) => kind === 'start' && !labels.includes('a'))
    record(`check: ${wrong.length} of ${jobs.length} tasks with the requirement a were started on an executor of kind b`)
    return wrong.length > 0
  } finally {
    await site.close()
  }
})
