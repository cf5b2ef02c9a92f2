/**
 * Failure shares per template and agent: tells a failing worker from a failing template.
 *
 * A template's share at the peers of an agent is the mean over the agents, each with one vote, so that a worker that
 * fails fast and so gets many tasks does not drown the others.
 */
import type { AgentIdentity } from '@baobabpost/common'

const COUNT_DECAY = 0.98
const SHARE_WITHOUT_PEERS = 0.5
const PRIOR_RUNS = 1
const PRIOR_FAILURES = 0.25
const FIRST_PAUSE_MILLISECONDS = 1_000
const LONGEST_PAUSE_MILLISECONDS = 30_000

/** Runs of a template at one agent. */
interface AgentRuns {
  runs: number
  failures: number
  successes: number
  consecutiveFailures: number
  /** Unix time in milliseconds before which the template goes to other agents, if there are any. */
  pausedUntil: number
}

interface TemplateRuns {
  readonly agents: Map<AgentIdentity, AgentRuns>
  /** Sum of the agents' failure shares. */
  shares: number
  /** Number of agents whose last run failed. */
  failingAgents: number
}

/** Failure shares of templates at agents. */
export interface FailureRecord {
  observe: (template: string, agent: AgentIdentity, failed: boolean, now: number) => void
  /** Failure share of the template at the other agents, from 0 to 1. */
  peerShare: (template: string, agent: AgentIdentity) => number
  /** Whether any agent's last run of the template failed. */
  hasFailing: (template: string) => boolean
  /** Whether the template should go to another agent, as it only ever failed here and most others don't fail it. */
  paused: (template: string, agent: AgentIdentity, agents: number, now: number) => boolean
  forget: (agent: AgentIdentity) => void
}

function failureShare (runs: AgentRuns): number {
  return (runs.failures + PRIOR_FAILURES) / (runs.runs + PRIOR_RUNS)
}

function emptyRuns (): AgentRuns {
  return { runs: 0, failures: 0, successes: 0, consecutiveFailures: 0, pausedUntil: 0 }
}

function count (runs: AgentRuns, failed: boolean, now: number): void {
  runs.runs = runs.runs * COUNT_DECAY + 1
  runs.failures = runs.failures * COUNT_DECAY + (failed ? 1 : 0)
  if (!failed) {
    runs.successes += 1
    runs.consecutiveFailures = 0
    return
  }
  runs.consecutiveFailures += 1
  const pause = FIRST_PAUSE_MILLISECONDS * 2 ** Math.min(runs.consecutiveFailures - 1, 10)
  runs.pausedUntil = now + Math.min(pause, LONGEST_PAUSE_MILLISECONDS)
}

/** Makes a record without runs. */
export function createFailureRecord (): FailureRecord {
  const templates = new Map<string, TemplateRuns>()

  return {
    observe: (template, agent, failed, now) => {
      let known = templates.get(template)
      if (known === undefined) {
        known = { agents: new Map(), shares: 0, failingAgents: 0 }
        templates.set(template, known)
      }
      let runs = known.agents.get(agent)
      if (runs === undefined) {
        runs = emptyRuns()
        known.agents.set(agent, runs)
        known.shares += failureShare(runs)
      }
      const share = failureShare(runs)
      const failing = runs.consecutiveFailures > 0
      count(runs, failed, now)
      known.shares += failureShare(runs) - share
      known.failingAgents += Number(failed) - Number(failing)
    },
    peerShare: (template, agent) => {
      const known = templates.get(template)
      if (known === undefined) return SHARE_WITHOUT_PEERS
      const own = known.agents.get(agent)
      const peers = known.agents.size - (own === undefined ? 0 : 1)
      if (peers === 0) return SHARE_WITHOUT_PEERS
      const ownShare = own === undefined ? 0 : failureShare(own)
      return Math.min(Math.max((known.shares - ownShare) / peers, 0), 1)
    },
    hasFailing: template => (templates.get(template)?.failingAgents ?? 0) > 0,
    paused: (template, agent, agents, now) => {
      const known = templates.get(template)
      const runs = known?.agents.get(agent)
      if (known === undefined || runs === undefined) return false
      if (runs.consecutiveFailures === 0 || runs.successes > 0 || now >= runs.pausedUntil) return false
      return known.failingAgents * 2 <= agents
    },
    forget: agent => {
      for (const known of templates.values()) {
        const runs = known.agents.get(agent)
        if (runs === undefined) continue
        known.shares -= failureShare(runs)
        if (runs.consecutiveFailures > 0) known.failingAgents -= 1
        known.agents.delete(agent)
      }
    }
  }
}
