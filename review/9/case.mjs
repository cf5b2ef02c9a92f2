/** Fault: an entry doesn't hand back the processor once a queue has a large priority. See claim.txt. */
import { pause, runCase, startSite, time } from '../stand-ins-2/site.mjs'

/** What is given for the lowest priority: the largest number of 32 bits. */
const LOWEST_PRIORITY = 2_147_483_647
const ORDINARY_PRIORITY = 3
/** Time without any answer from which the entry counts as one that doesn't hand back the processor: `recovery_s`. */
const HANG_MILLISECONDS = 12_000
const OBSERVED_MILLISECONDS = 20_000
const STEPS = [{ count: 4, cpu: 3_000, requested_memory_mb: 64, estimated_ms: 200 }]

await runCase(import.meta.dirname, async ({ record, isTroubled }) => {
  const site = await startSite({ record, executors: [{}, {}, {}, {}] })
  try {
    const priority = isTroubled ? LOWEST_PRIORITY : ORDINARY_PRIORITY
    const version = site.configure([{}, { name: 'reports', path_prefix: '/reports/', priority }])
    record(`operator: version ${version} adds the queue reports, priority ${priority}`)
    await pause(3_000)
    let isServed = false
    for (let attempt = 0; attempt < 10 && !isServed; attempt += 1) {
      const { status } = await site.submit(0, `0000000000000c0${attempt}`, { steps: STEPS, ms: 200, deadline: 1_500 })
      isServed = status === 200
      if (!isServed) await pause(1_000)
    }
    if (!isServed) throw new Error('no job of the queue loans was done before')
    const report = site.submit(0, '0000000000000e01', { steps: STEPS, ms: 200, deadline: 1_500, path: '/reports/' })
    await pause(200)
    const others = []
    const observedFrom = time()
    let lastAnswerAt = observedFrom
    let longestSilence = 0
    while (time() - observedFrom < OBSERVED_MILLISECONDS) {
      // The platform's readiness check, once a second, and a job of the other queue.
      const isAnswered = await Promise.race([site.isReady(0), pause(1_000)])
      const id = `0000000000000d${String(others.length).padStart(2, '0')}`
      others.push(site.submit(0, id, { steps: STEPS, ms: 200, deadline: 1_500 }).then(({ status }) => {
        if (status !== undefined) lastAnswerAt = time()
      }))
      if (isAnswered !== undefined) lastAnswerAt = time()
      longestSilence = Math.max(longestSilence, time() - lastAnswerAt)
      if (isAnswered !== undefined) await pause(1_000)
    }
    const isBroken = longestSilence >= HANG_MILLISECONDS
    record(`check: front-1 answered neither the readiness check nor a job for ${longestSilence} ms on end; nothing stopped it`)
    if (!isBroken) await Promise.all([report, ...others])
    return isBroken
  } finally {
    await site.close()
  }
})
