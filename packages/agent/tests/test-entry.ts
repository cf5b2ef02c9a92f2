/** A minimal entry for tests: answers heartbeats, acknowledges reports, records outcomes. */
import { createEntryIdentity, silentLogger, silentMetrics, type AgentIdentity, type EntryIdentity } from '@baobabpost/common'
import { createLink, type Link } from '@baobabpost/link'
import type { Announce, Collected, DispatchGroup, LinkMessage, TaskOutcome } from '@baobabpost/messages'

export const TEST_KEY = 'a-key-for-tests'

export interface TestEntry {
  readonly identity: EntryIdentity
  readonly link: Link
  /** Last reported outcome by `SUBMISSION/INDEX`. */
  readonly outcomes: Map<string, TaskOutcome>
  readonly collected: Collected[]
  lastAnnounce: () => Announce | undefined
  /** Sets the standing with which heartbeats are answered; with `none` they are not answered. */
  setStanding: (standing: 'joined' | 'departed' | 'none') => void
  setAcknowledging: (acknowledging: boolean) => void
  send: (to: AgentIdentity, message: LinkMessage) => void
  close: () => Promise<void>
}

export async function startTestEntry (name: string): Promise<TestEntry> {
  const identity = createEntryIdentity(name)
  const outcomes = new Map<string, TaskOutcome>()
  const collected: Collected[] = []
  let announce: Announce | undefined
  let standing: 'joined' | 'departed' | 'none' = 'joined'
  let acknowledging = true

  function receive (from: AgentIdentity, message: LinkMessage): void {
    if (message.method === 'announce') {
      announce = message.parameters
      if (standing === 'none') return
      const entries = [{ identity, address: link.address }]
      const { sequence } = message.parameters
      link.send(from, {
        method: 'announced',
        parameters: { sequence, standing, entries, registers: [], configurationPosition: 0 }
      })
    } else if (message.method === 'report') {
      for (const { submission, tasks } of message.parameters.submissions) {
        for (const { index, outcome } of tasks) outcomes.set(`${submission}/${index}`, outcome)
      }
      if (!acknowledging) return
      link.send(from, { method: 'acknowledge', parameters: { sequences: [message.parameters.sequence] } })
    } else if (message.method === 'collected') {
      collected.push(message.parameters)
    }
  }

  const link = await createLink({
    identity,
    listenAddress: '127.0.0.1:0',
    keys: [TEST_KEY],
    logger: silentLogger,
    metrics: silentMetrics,
    onMessage: (from, _address, message) => { receive(from as AgentIdentity, message) }
  })
  return {
    identity,
    link,
    outcomes,
    collected,
    lastAnnounce: () => announce,
    setStanding (next) { standing = next },
    setAcknowledging (next) { acknowledging = next },
    send: (to, message) => { link.send(to, message) },
    close: async () => { await link.close() }
  }
}

/** Creates a group of a keyed submission in partition 7 under the given epoch. */
export function createGroup (
  submission: string, epoch: number, inputs: ReadonlyArray<Record<string, unknown>>
): DispatchGroup {
  return {
    header: { submission, digest: 'd', taskCount: inputs.length, customer: 'medina', template: 'lend' },
    ownership: { partition: 7, epoch },
    path: '/lend',
    timeoutMilliseconds: 5_000,
    parameters: { workMilliseconds: 20 },
    urgent: false,
    startBefore: Date.now() + 2_000,
    tasks: inputs.map((input, index) => ({ index, input }))
  }
}
