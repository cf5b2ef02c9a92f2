import { describe, expect, it } from 'vitest'
import { createCrashEvidence, type CrashEvidence } from '@baobabpost/dispatching'
import type { UpstreamCrash } from '@baobabpost/fleet-calls'

/** Describes a crash under tasks, each named `ROUTE/NUMBER`. */
function crash (id: string, tasks: readonly string[], fields: Partial<UpstreamCrash> = {}): UpstreamCrash {
  return { id, candidates: tasks.map(task => ({ task, route: task.split('/')[0] ?? '' })), ...fields }
}

/** Tells crashes in turn, one every 10 ms, each by an agent of its own. */
function evidenceOf (...crashes: UpstreamCrash[]): CrashEvidence {
  const evidence = createCrashEvidence()
  for (const [position, told] of crashes.entries()) {
    evidence.merge(`agent-${position}`, { crashes: [told], cleared: [] }, position * 10)
  }
  return evidence
}

describe('evidence of crashes', () => {
  it('blames the task that is left at two crashes once all others there were done', () => {
    const evidence = evidenceOf(crash('1', ['a/1', 'a/2', 'b/1']), crash('2', ['a/1', 'c/1']))
    expect(evidence.suspicionOf('a/1', 20)).toBe('held')
    expect(evidence.suspicionOf('a/2', 20)).toBe('suspect')
    evidence.merge('agent-9', { crashes: [], cleared: ['c/1', 'a/2'] }, 20)
    expect(evidence.suspicionOf('a/1', 20)).toBe('held')
    evidence.clear('b/1')
    expect(evidence.suspicionOf('a/1', 20)).toBe('blamed')
    expect(evidence.suspicionOf('a/2', 20)).toBe('clear')
  })

  it('never blames a task that was only beside others, however often', () => {
    const crashes = ['1', '2', '3', '4', '5'].map(id => crash(id, ['a/1', `b/${id}`]))
    const evidence = evidenceOf(...crashes)
    expect(evidence.suspicionOf('a/1', 10_000)).toBe('lone')
    evidence.clear('a/1')
    expect(evidence.suspicionOf('a/1', 10_000)).toBe('clear')
    expect(evidence.suspicionOf('b/1', 10_000)).toBe('suspect')
  })

  it('blames no task for upstreams that only stopped answering, and forgets those that answer again', () => {
    const evidence = evidenceOf(crash('1', ['a/1'], { isSuspected: true }), crash('2', ['a/1'], { isSuspected: true }))
    expect(evidence.suspicionOf('a/1', 20)).toBe('held')
    evidence.merge('agent-0', undefined, 30)
    expect(evidence.suspicionOf('a/1', 30)).toBe('suspect')
    evidence.merge('agent-1', { crashes: [crash('2', ['a/1'])], cleared: [] }, 40)
    expect(evidence.suspicionOf('a/1', 40)).toBe('suspect')
  })

  it('keeps what a killed agent told, and adds no crash twice', () => {
    const evidence = evidenceOf(crash('1', ['a/1']), crash('2', ['a/1']))
    evidence.merge('agent-0 restarted', undefined, 30)
    evidence.merge('agent-1', { crashes: [crash('2', ['a/1'])], cleared: [] }, 40)
    expect(evidence.crashCountOf('a/1')).toBe(2)
  })

  // An agent that was silent for a while and told of the crash later made two of it, and a third one blamed the task.
  it('counts a crash once if the agent that was lost with the task tells it after all', () => {
    const evidence = createCrashEvidence()
    evidence.addLost('agent-1', [{ task: 'a/1', route: 'a' }], 0)
    evidence.merge('agent-1', { crashes: [crash('agent-1/1', ['a/1'])], cleared: [] }, 10)
    expect(evidence.crashCountOf('a/1')).toBe(1)
  })

  it('blames a task after three crashes if it alone is left at one, or had no answer to its start order', () => {
    const unresolved = [crash('1', ['a/1', 'b/1']), crash('2', ['a/1', 'b/2'])]
    expect(evidenceOf(...unresolved, crash('3', ['a/1'])).suspicionOf('a/1', 900)).toBe('blamed')
    const unconfirmed = (id: string): UpstreamCrash =>
      ({ id, candidates: [{ task: 'a/1', route: 'a', isUnconfirmed: true }] })
    expect(evidenceOf(unconfirmed('1'), unconfirmed('2')).suspicionOf('a/1', 900)).toBe('lone')
    expect(evidenceOf(unconfirmed('1'), unconfirmed('2'), unconfirmed('3')).suspicionOf('a/1', 900)).toBe('blamed')
  })

  it('implicates no second route by crashes that the first may explain', () => {
    const evidence = evidenceOf(crash('1', ['a/1', 'b/1']), crash('2', ['a/1', 'c/1']), crash('3', ['a/2', 'b/1']))
    expect([...evidence.implicatedRoutes()]).toEqual(['a'])
    evidence.clear('a/1')
    evidence.clear('a/2')
    expect([...evidence.implicatedRoutes()]).toEqual(['b'])
  })

  it('forgets crashes after their retention', () => {
    const evidence = evidenceOf(crash('1', ['a/1']), crash('2', ['a/1']))
    evidence.expire(31_000)
    expect(evidence.isEmpty()).toBe(true)
    expect(evidence.suspicionOf('a/1', 31_000)).toBe('clear')
  })
})
