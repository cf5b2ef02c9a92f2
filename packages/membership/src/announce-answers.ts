/** Answers agents' heartbeats, and tells agents at once what forbids them to start anything. */
import { agentRegisterNames, type Announce, type Announced, type Outbox, type RegisterValue } from '@baobabpost/messages'
import type { RegisterProjection } from '@baobabpost/platform-log'

/** Maximum number of registers in one answer to a heartbeat. */
const MAXIMUM_ANSWER_REGISTERS = 100

export interface AnnounceAnswersOptions {
  readonly projection: Pick<RegisterProjection, 'read' | 'changesSince'>
  readonly outbox: Pick<Outbox, 'send'>
  readonly standingOf: (announce: Announce) => Announced['standing']
  readonly entryAddresses: () => Announced['entries']
}

/** Sends agents what they need to know. */
export interface AnnounceAnswers {
  /** Answers a heartbeat, which gives the agent a lease. */
  answer: (announce: Announce) => void
  /**
   * Tells those agents that one of the changed registers forbids to start anything, or allows it again, without waiting
   * for their heartbeats.
   */
  tellProhibitions: (changed: ReadonlySet<string>, agents: Iterable<Announce>) => void
}

/**
 * Creates the answers of one entry.
 *
 * @example
 * const answers = createAnnounceAnswers({ projection, outbox, standingOf, entryAddresses })
 * answers.tellProhibitions(new Set(['evacuation/dakar-1']), announces)
 */
export function createAnnounceAnswers (options: AnnounceAnswersOptions): AnnounceAnswers {
  const { projection, outbox } = options

  /** The registers that forbid an agent to start anything, whether they have a value or were removed. */
  function prohibitionsOf ({ identity, failureDomain }: Announce): RegisterValue[] {
    const { drain, evacuation } = agentRegisterNames(identity, failureDomain)
    return [projection.read(drain), projection.read(evacuation)].filter(register => register !== undefined)
  }

  function send (announce: Announce, fields: Pick<Announced, 'sequence' | 'registers' | 'configurationPosition'>): void {
    const standing = options.standingOf(announce)
    const parameters: Announced = { ...fields, standing, entries: options.entryAddresses() }
    outbox.send(announce.identity, { method: 'announced', parameters })
  }

  return {
    answer (announce) {
      const delta = projection.changesSince(announce.configurationPosition, MAXIMUM_ANSWER_REGISTERS, 'policy')
      send(announce, {
        sequence: announce.sequence,
        // Prohibitions are in each answer, apart from the limit: an agent that was started again must know them before
        // it gets a lease.
        registers: [...prohibitionsOf(announce), ...delta.registers],
        configurationPosition: delta.position
      })
    },
    tellProhibitions (changed, agents) {
      for (const announce of agents) {
        const { drain, evacuation } = agentRegisterNames(announce.identity, announce.failureDomain)
        if (!changed.has(drain) && !changed.has(evacuation)) continue
        // It answers no heartbeat and covers no range of the log, so it extends no lease and moves no position.
        send(announce, { sequence: 0, registers: prohibitionsOf(announce), configurationPosition: 0 })
      }
    }
  }
}
