import { describe, expect, it } from 'vitest'
import { createAgentView, findShares, hasCredit, type AgentView } from '@baobabpost/dispatching'

const CAPACITY = { processor: 40_000, memory: 65_536, accelerators: 0 }

interface Health {
  readonly failureShare?: number
  readonly pace?: number
  readonly silentUntil?: number
}

function createView (index: number, { failureShare = 0, pace, silentUntil }: Health): AgentView {
  const view = createAgentView('entry-1', `agent-${index}`, '10.1.0.1:7720')
  view.load = {
    free: CAPACITY, waiting: [], releaseRate: 0, slowness: 1, failureShare, ...(pace === undefined ? {} : { pace })
  }
  view.profile = {
    version: 1, service: 'desk', failureDomain: 'domain-1', capacity: CAPACITY, labels: [], accepting: true
  }
  view.silentUntil = silentUntil
  return view
}

function createViews (unhealthy: readonly Health[], count = 12): AgentView[] {
  return Array.from({ length: count }, (_, index) => createView(index, unhealthy[index] ?? {}))
}

describe('the shares of upstreams', () => {
  it('are whole without failures, slow-downs and silences', () => {
    expect(findShares(createViews([]), 0).size).toBe(0)
    expect(findShares(createViews([{ failureShare: 0.05 }]), 0).size).toBe(0)
  })

  // An upstream kept all of its work up to a failure share of 0.4 and lost all of it there, so a flapping one went
  // back and forth between all and nothing.
  it('fall by degrees with failures', () => {
    const shares = [0.15, 0.25, 0.35, 0.45].map(failureShare =>
      findShares(createViews([{ failureShare }]), 0).get('agent-0') ?? 1)
    expect(shares).toEqual([...shares].sort((left, right) => right - left))
    expect(new Set(shares).size).toBe(4)
    expect(shares[3]).toBe(0)
  })

  it('fall with the pace, and rise again after a silence', () => {
    expect(findShares(createViews([{ pace: 2 }]), 0).get('agent-0')).toBeCloseTo(0.5)
    const views = createViews([{ silentUntil: 1_000 }])
    expect(findShares(views, 1_000).get('agent-0')).toBeCloseTo(0.5)
    expect(findShares(views, 3_000).get('agent-0')).toBeCloseTo(0.75)
    expect(findShares(views, 5_000).size).toBe(0)
  })

  it('set aside at most about a third of the capacity, the worst first', () => {
    const views = createViews([
      ...Array.from({ length: 5 }, () => ({ pace: 1.5 })), ...Array.from({ length: 5 }, () => ({ pace: 5 }))
    ])
    const shares = findShares(views, 0)
    let setAside = 0
    for (const share of shares.values()) setAside += 1 - share
    expect(setAside / views.length).toBeLessThanOrEqual(0.34 + 1e-9)
    expect(shares.get('agent-9')).toBeCloseTo(0.2)
    expect(shares.get('agent-0') ?? 1).toBeGreaterThan(0.9)
  })

  it('stay whole where jobs that can never succeed fail everywhere', () => {
    const views = Array.from({ length: 6 }, (_, index) => createView(index, { failureShare: 0.5 }))
    expect(findShares(views, 0).size).toBe(0)
  })

  it('let an upstream be chosen for that share of the tasks', () => {
    const view = createView(0, {})
    let chosen = 0
    for (let task = 0; task < 100; task += 1) {
      if (!hasCredit(view, 0.25)) continue
      chosen += 1
      view.shareCredit = 0
    }
    expect(chosen).toBe(25)
  })
})
