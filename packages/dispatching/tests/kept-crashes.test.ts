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

it('has two other agents keep a crash, once, if the agent of the upstream told it and it is certain', () => {
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
  const candidates = [{ task: '5c0e7a21d94b36f8.0.0.0', route: 'desk' }]
  const crashes = [
    { id: 'i-1/1', candidates }, { id: 'i-1/2', candidates, isSuspected: true }, { id: 'i-9/1', candidates }
  ]
  dispatcher.watchAnswered(first, answerOf('i-1', 200, crashes), 10)
  dispatcher.watchAnswered(first, answerOf('i-1', 300, crashes), 20)
  expect(told).toHaveLength(2)
  expect(new Set(told.map(({ agent }) => agent)).size).toBe(2)
  for (const { agent, crashes: ids } of told) {
    expect(agent).not.toBe('agent-1')
    expect(ids).toEqual(['i-1/1'])
  }
})
