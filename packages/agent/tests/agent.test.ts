import { createServer } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { startAgent, type AgentSettings, type RunningAgent } from '@baobabpost/agent'
import { createStandInUpstream, type StandInUpstream } from '@baobabpost/stand-in-upstream'
import { createGroup, startTestEntry, TEST_KEY, type TestEntry } from './test-entry.js'

let upstream: StandInUpstream
let entry: TestEntry
let agent: RunningAgent

function settingsFor (entries: readonly TestEntry[], changes: Partial<AgentSettings> = {}): AgentSettings {
  return {
    name: 'agent-1',
    listenAddress: '127.0.0.1:0',
    advertisedAddress: '',
    failureDomain: 'dakar-1',
    service: 'lending',
    slots: 2,
    connections: 10,
    upstreamAddress: upstream.address,
    entryAddresses: entries.map(({ link }) => link.address),
    linkKeys: [TEST_KEY],
    logLevel: 'error',
    metricsAddress: '',
    keyWindowMilliseconds: 600_000,
    leaseMilliseconds: 3_000,
    clockSkewMilliseconds: 2_000,
    upstreamIdleMilliseconds: 2_000,
    stopTimeoutMilliseconds: 5_000,
    memoryLimitMegabytes: 350,
    descriptorLimit: 4_100,
    ...changes
  }
}

async function waitForLease (): Promise<void> {
  await expect.poll(() => agent.snapshot().leaseUntil, { timeout: 5_000 }).toBeGreaterThan(0)
}

function dispatch (from: TestEntry, group: ReturnType<typeof createGroup>): void {
  from.send(agent.identity(), { method: 'dispatch', parameters: { groups: [group], backlog: 0 } })
}

beforeEach(async () => {
  upstream = await createStandInUpstream({ name: 'one', port: 0, slots: 2, speed: 1, defaultMilliseconds: 20 })
  entry = await startTestEntry('entry-1')
  agent = await startAgent(settingsFor([entry]))
  await waitForLease()
})

afterEach(async () => {
  expect(agent.violations()).toBe(0)
  await agent.stop()
  await entry.close()
  await upstream.close()
})

describe('agent over sockets', () => {
  test('runs each task of a repeated dispatch once, and reports every answer', async () => {
    const group = createGroup('job', 5, [{ tool: 'drill' }, { tool: 'pump', fail: true }, { tool: 'ladder' }])
    for (let copy = 0; copy < 3; copy += 1) dispatch(entry, group)
    await expect.poll(() => entry.outcomes.size).toBe(3)
    dispatch(entry, group)
    await expect.poll(() => agent.snapshot().unacknowledgedOutcomes).toBe(0)
    expect(entry.outcomes.get('job/0')).toEqual({
      status: 'succeeded',
      answer: { echo: { workMilliseconds: 20, tool: 'drill' }, upstream: 'one' }
    })
    expect(entry.outcomes.get('job/1')).toMatchObject({ status: 'failed' })
    expect([...upstream.starts().values()]).toEqual([1, 1, 1])
  })

  test('sends a report again until it is acknowledged', async () => {
    entry.setAcknowledging(false)
    dispatch(entry, createGroup('job', 5, [{}]))
    await expect.poll(() => entry.outcomes.size).toBe(1)
    entry.outcomes.clear()
    entry.setAcknowledging(true)
    await expect.poll(() => entry.outcomes.size, { timeout: 5_000 }).toBe(1)
    await expect.poll(() => agent.snapshot().unacknowledgedOutcomes).toBe(0)
    expect([...upstream.starts().values()]).toEqual([1])
  })

  test('a graceful shutdown finishes running tasks, refuses queued ones and reports every outcome', async () => {
    dispatch(entry, createGroup('job', 5, [0, 1, 2, 3, 4].map(() => ({ workMilliseconds: 200 }))))
    await expect.poll(() => upstream.runningTasks()).toBe(2)
    await agent.stop()
    const outcomes = [...entry.outcomes.values()]
    expect(outcomes.map(outcome => outcome.status).sort()).toEqual(
      ['not-run', 'not-run', 'not-run', 'succeeded', 'succeeded']
    )
    expect(upstream.starts().size).toBe(2)
    expect(entry.lastAnnounce()?.state).toBe('leaving')
  })

  test('a leaving agent refuses dispatches, even of an entry that received no announcement', async () => {
    const uninformed = await startTestEntry('entry-2')
    uninformed.link.setPeer(agent.identity(), agent.address())
    dispatch(uninformed, createGroup('before', 5, [{ workMilliseconds: 500 }]))
    await expect.poll(() => upstream.runningTasks()).toBe(1)
    const stopping = agent.stop()
    for (let late = 0; late < 10; late += 1) {
      dispatch(uninformed, createGroup(`late-${late}`, 5, [{}]))
      await expect.poll(() => uninformed.outcomes.get(`late-${late}/0`)).toEqual({ status: 'not-run', reason: 'leaving' })
    }
    await stopping
    expect([...upstream.starts().keys()]).toEqual(['before/0'])
    expect(uninformed.outcomes.get('before/0')).toMatchObject({ status: 'succeeded' })
    await uninformed.close()
  })

  test('a task whose connection is refused is reported as not run, and tasks run again once the upstream is back', async () => {
    await upstream.setFault({ kind: 'dies' })
    dispatch(entry, createGroup('early', 5, [{}]))
    await expect.poll(() => entry.outcomes.get('early/0')).toEqual({ status: 'not-run', reason: 'no-worker' })
    await expect.poll(() => entry.lastAnnounce()?.window).toBe(0)
    await upstream.setFault({ kind: 'none' })
    await expect.poll(() => entry.lastAnnounce()?.window, { timeout: 5_000 }).toBeGreaterThan(0)
    dispatch(entry, createGroup('late', 5, [{}]))
    await expect.poll(() => entry.outcomes.get('late/0')).toMatchObject({ status: 'succeeded' })
    expect(upstream.starts().has('early/0')).toBe(false)
  })

  test('a task whose upstream hangs or dies is reported with an unknown outcome, not as not run', async () => {
    await upstream.setFault({ kind: 'hangs' })
    dispatch(entry, { ...createGroup('hanging', 5, [{}]), timeoutMilliseconds: 200 })
    await expect.poll(() => entry.outcomes.get('hanging/0')).toEqual(
      { status: 'outcome-unknown', reason: 'upstream-silent' }
    )
    await upstream.setFault({ kind: 'none' })
    dispatch(entry, createGroup('dying', 5, [{ workMilliseconds: 5_000 }]))
    await expect.poll(() => upstream.starts().get('dying/0')).toBe(1)
    await upstream.setFault({ kind: 'dies' })
    await expect.poll(() => entry.outcomes.get('dying/0')).toMatchObject({ status: 'outcome-unknown' })
    await upstream.setFault({ kind: 'none' })
  })

  test('a replaced agent starts no further task, and restarts under a new identity', async () => {
    const before = agent.identity()
    entry.setStanding('departed')
    await expect.poll(() => agent.snapshot().state === 'departed' || agent.identity() !== before).toBe(true)
    entry.setStanding('joined')
    await expect.poll(() => agent.identity(), { timeout: 10_000 }).not.toBe(before)
    await waitForLease()
    dispatch(entry, createGroup('job', 5, [{}]))
    await expect.poll(() => entry.outcomes.get('job/0')).toMatchObject({ status: 'succeeded' })
  })

  test('an agent restarted on the same address ignores dispatches to its former identity', async () => {
    const address = agent.address()
    const formerIdentity = agent.identity()
    dispatch(entry, createGroup('job', 5, [{}]))
    await expect.poll(() => entry.outcomes.size).toBe(1)
    await agent.stop()
    agent = await startAgent(settingsFor([entry], { listenAddress: address }))
    await waitForLease()
    entry.link.setPeer(formerIdentity, address)
    entry.send(formerIdentity, { method: 'dispatch', parameters: { groups: [createGroup('job', 5, [{}])], backlog: 0 } })
    dispatch(entry, createGroup('next', 5, [{}]))
    await expect.poll(() => entry.outcomes.has('next/0')).toBe(true)
    expect(upstream.starts().get('job/0')).toBe(1)
  })

  test('a new owner collects the tasks that the former owner dispatched, and receives their outcomes', async () => {
    const second = await startTestEntry('entry-2')
    second.link.setPeer(agent.identity(), agent.address())
    entry.setAcknowledging(false)
    dispatch(entry, createGroup('job', 5, [{}, {}, { workMilliseconds: 300 }]))
    await expect.poll(() => upstream.starts().size).toBe(3)
    second.send(agent.identity(), { method: 'collect', parameters: { partitions: [{ partition: 7, epoch: 9 }] } })
    await expect.poll(() => second.collected.length).toBe(1)
    expect(second.collected[0]?.submissions[0]?.tasks).toHaveLength(3)
    await expect.poll(() => second.outcomes.get('job/2')).toMatchObject({ status: 'succeeded' })
    dispatch(entry, createGroup('late', 5, [{}]))
    await expect.poll(() => entry.outcomes.get('late/0')).toEqual({ status: 'not-run', reason: 'stale-epoch' })
    entry.setAcknowledging(true)
    await second.close()
  })
})

test('starting on an address in use fails', async () => {
  const blocker = createServer()
  await new Promise<void>(resolve => { blocker.listen(0, '127.0.0.1', resolve) })
  const { port } = blocker.address() as { port: number }
  await expect(startAgent(settingsFor([entry], { listenAddress: `127.0.0.1:${port}` }))).rejects.toThrow('EADDRINUSE')
  await new Promise<void>(resolve => { blocker.close(() => { resolve() }) })
})
