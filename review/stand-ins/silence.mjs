/** Measures for how long an entry answers nobody: readiness checks of the platform, and small jobs of clients. */
import { callFront, idOf, pause } from './site.mjs'

/**
 * Time without any answer from which a process counts as one that doesn't hand back the processor. RULES.md gives no
 * figure for that; this is `recovery_s`, within which even a fleet that lost its power serves again.
 */
export const HANG_MILLISECONDS = 12_000
const SMALL_DEADLINE_MILLISECONDS = 1_500

/** Begins to check an entry once a second, and to send it small jobs, until `end` is called. */
export function observeAnswers (site, entry, record) {
  const state = { lastAnswerAt: performance.now(), isOver: false, longest: 0 }
  const heard = () => {
    state.longest = Math.max(state.longest, performance.now() - state.lastAnswerAt)
    state.lastAnswerAt = performance.now()
  }

  async function checkReadiness () {
    while (!state.isOver) {
      const isReady = await site.isReady(entry)
      record(`platform: GET /readiness of ${entry.name}: ${isReady ? 200 : 'not 200, or no answer'}`)
      if (isReady) heard()
      await pause(1_000)
    }
  }

  async function sendSmallJobs () {
    for (let number = 1; !state.isOver; number += 1) {
      const id = idOf(0x50000 + number)
      const step = { count: 1, cpu: 400, requested_memory_mb: 16, estimated_ms: 50 }
      const body = { specification: JSON.stringify({ ms: 50 }), steps: [step], best_effort: true }
      const answer = await callFront(entry, 'POST', id, { body, deadline: SMALL_DEADLINE_MILLISECONDS })
      record(`small client: POST ${id} answered ${answer.status} ${answer.body}`)
      if (answer.status !== 0) heard()
      await pause(500)
    }
  }

  const loops = [checkReadiness(), sendSmallJobs()]
  return {
    /** Ends the observation. Returns what was broken. */
    end: async () => {
      heard()
      state.isOver = true
      await Promise.all(loops)
      record(`longest time without any answer of ${entry.name}: ${Math.round(state.longest)} ms`)
      if (!entry.isRunning()) return [`${entry.name} has ended by itself`]
      if (state.longest < HANG_MILLISECONDS) return []
      return [`${entry.name} gave no answer to anyone for ${Math.round(state.longest)} ms`]
    }
  }
}
