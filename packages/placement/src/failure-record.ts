/**
 * Failure shares by template and agent, which distinguish a faulty agent from a faulty template.
 *
 * The failure share of a template at the peers of an agent is the unweighted mean of the shares of the peers.
 * Otherwise an agent that fails quickly, and therefore gets many tasks, would dominate the mean.
 */
import type { AgentIdentity } from '@baobabpost/common'

const COUNT_DECAY = 0.98
const SHARE_WITHOUT_PEERS = 0.5
const PRIOR_RUNS = 1
const PRIOR_FAILURES = 0.25
const INITIAL_PAUSE_MILLISECONDS = 1_000
const MAXIMUM_PAUSE_MILLISECONDS = 30_000

/** Runs of a template at one agent; `runs` and `failures` decay. */
interface AgentRuns {
  runs: number
  failures: number
  successes: number
  consecutiveFailures: number
  /** Unix time in milliseconds until which tasks of the template prefer other agents. */
  pausedUntil: number
}

interface TemplateRuns {
  readonly agents: Map<AgentIdentity, AgentRuns>
  /** Sum of the failure shares of all agents. */
  failureShareSum: number
  /** Number of agents whose last run failed. */
  failingAgents: number
}

export interface FailureRecord {
  observe: (template: string, agent: AgentIdentity, hasFailed: boolean, now: number) => void
  /** Mean failure share of the template at the other agents, from 0 to 1. */
  peerShare: (template: string, agent: AgentIdentity) => number
  /** Whether the last run of the template failed at any agent. */
  hasFailingAgent: (template: string) => boolean
  /**
   * Whether the template should go to other agents for now, because it only ever failed at this agent, and no more than
   * half of all agents failed their last run of it.
   */
  isPaused: (template: string, agent: AgentIdentity, agentCount: number, now: number) => boolean
  removeAgent: (agent: AgentIdentity) => void
}

function failureShare (runs: AgentRuns): number {
  return (runs.failures + PRIOR_FAILURES) / (runs.runs + PRIOR_RUNS)
}

function createAgentRuns (): AgentRuns {
  return { runs: 0, failures: 0, successes: 0, consecutiveFailures: 0, pausedUntil: 0 }
}

function recordRun (runs: AgentRuns, hasFailed: boolean, now: number): void {
  runs.runs = runs.runs * COUNT_DECAY + 1
  runs.failures = runs.failures * COUNT_DECAY + (hasFailed ? 1 : 0)
  if (!hasFailed) {
    runs.successes += 1
    runs.consecutiveFailures = 0
    return
  }
  runs.consecutiveFailures += 1
  const pauseMilliseconds = INITIAL_PAUSE_MILLISECONDS * 2 ** Math.min(runs.consecutiveFailures - 1, 10)
  runs.pausedUntil = now + Math.min(pauseMilliseconds, MAXIMUM_PAUSE_MILLISECONDS)
}

export function createFailureRecord (): FailureRecord {
  const templates = new Map<string, TemplateRuns>()

  return {
    observe: (template, agent, hasFailed, now) => {
      let templateRuns = templates.get(template)
      if (templateRuns === undefined) {
        templateRuns = { agents: new Map(), failureShareSum: 0, failingAgents: 0 }
        templates.set(template, templateRuns)
      }
      let runs = templateRuns.agents.get(agent)
      if (runs === undefined) {
        runs = createAgentRuns()
        templateRuns.agents.set(agent, runs)
        templateRuns.failureShareSum += failureShare(runs)
      }
      const previousShare = failureShare(runs)
      const wasFailing = runs.consecutiveFailures > 0
      recordRun(runs, hasFailed, now)
      templateRuns.failureShareSum += failureShare(runs) - previousShare
      templateRuns.failingAgents += Number(hasFailed) - Number(wasFailing)
    },
    peerShare: (template, agent) => {
      const templateRuns = templates.get(template)
      if (templateRuns === undefined) return SHARE_WITHOUT_PEERS
      const ownRuns = templateRuns.agents.get(agent)
      const peerCount = templateRuns.agents.size - (ownRuns === undefined ? 0 : 1)
      if (peerCount === 0) return SHARE_WITHOUT_PEERS
      const ownShare = ownRuns === undefined ? 0 : failureShare(ownRuns)
      return Math.min(Math.max((templateRuns.failureShareSum - ownShare) / peerCount, 0), 1)
    },
    hasFailingAgent: template => (templates.get(template)?.failingAgents ?? 0) > 0,
    isPaused: (template, agent, agentCount, now) => {
      const templateRuns = templates.get(template)
      const runs = templateRuns?.agents.get(agent)
      if (templateRuns === undefined || runs === undefined) return false
      if (runs.consecutiveFailures === 0 || runs.successes > 0 || now >= runs.pausedUntil) return false
      return templateRuns.failingAgents * 2 <= agentCount
    },
    removeAgent: agent => {
      for (const templateRuns of templates.values()) {
        const runs = templateRuns.agents.get(agent)
        if (runs === undefined) continue
        templateRuns.failureShareSum -= failureShare(runs)
        if (runs.consecutiveFailures > 0) templateRuns.failingAgents -= 1
        templateRuns.agents.delete(agent)
      }
    }
  }
}
