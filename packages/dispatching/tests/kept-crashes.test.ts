import { expect, it } from 'vitest'
import { silentLogger } from '@baobabpost/common'
import { createDispatcher } from '@baobabpost/dispatching'
import type { UpstreamCrash, WatchAnswer } from '@baobabpost/fleet-calls'

const SIZE = { processor: 60_000, memory: 65_536, accelerators: 0 }

function answerOf (incarnation: string, clock: number, crashes: readonly UpstreamCrash[]): WatchAnswer {
  return {
    incarnation,
    clock,
    cleared: true,
    reports: [],
    room: { free: SIZE, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0 },
    profile: {
      version: clock,
      service: 'desk',
      failureDomain: 'a',
      capacity: SIZE,
      labels: [],
      accepting: true,
      crashes: { crashes, cleared: [] }
    }
  }
}

const candidates = [{ task: '5c0e7a21d94b36f8.0.0.0', route: 'desk' }]

/** Agents of which the first tells crashes, and what the others are told. */
function startAgents (): {
  readonly told: Array<{ readonly agent: string, readonly crashes: readonly string[] }>
  readonly tell: (clock: number, crashes: readonly UpstreamCrash[]) => void
} {
  const told: Array<{ readonly agent: string, readonly crashes: readonly string[] }> = []
  const dispatcher = createDispatcher({
    entry: 'entry-1',
    incarnation: '1',
    failureDomain: 'a',
    logger: silentLogger,
    sendStart: () => {},
    sendStop: () => {},
    tellCrashes: ({ name }, crashes) => { told.push({ agent: name, crashes: crashes.map(({ id }) => id) }) }
  })
  const views = [1, 2, 3, 4].map(number => {
    const view = dispatcher.agentFound(`agent-${number}`, `10.1.0.${number}:7720`)
    if (view === undefined) throw new Error('expected a view of the new agent')
    dispatcher.watchAnswered(view, answerOf(`i-${number}`, 100, []), 0)
    return view
  })
  const [first] = views
  if (first === undefined) throw new Error('expected a view')
  return {
    told, tell: (clock, crashes) => { dispatcher.watchAnswered(first, answerOf('i-1', clock, crashes), clock) }
  }
}

it('has two other agents keep a crash, once, if the agent of the upstream told it and it is certain', () => {
  const { told, tell } = startAgents()
  const crashes = [
    { id: 'i-1/1', candidates }, { id: 'i-1/2', candidates, isSuspected: true }, { id: 'i-9/1', candidates }
  ]
  tell(200, crashes)
  tell(300, crashes)
  expect(told).toHaveLength(2)
  expect(new Set(told.map(({ agent }) => agent)).size).toBe(2)
  for (const { agent, crashes: ids } of told) {
    expect(agent).not.toBe('agent-1')
    expect(ids).toEqual(['i-1/1'])
  }
})

// An entry that starts later knew nothing of a crash that was only suspected at first.
it('has them keep a suspected crash once it is certain, and none that is dropped', () => {
  const { told, tell } = startAgents()
  tell(200, [{ id: 'i-1/1', candidates, isSuspected: true }, { id: 'i-1/2', candidates, isSuspected: true }])
  expect(told).toEqual([])
  tell(300, [{ id: 'i-1/1', candidates }])
  tell(400, [{ id: 'i-1/1', candidates }])
  expect(told.map(({ crashes }) => crashes)).toEqual([['i-1/1'], ['i-1/1']])
})
