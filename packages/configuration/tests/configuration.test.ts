import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { createInvariants } from '@baobabpost/common'
import type { JobRequest, LogEntry, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection, findValueFault, type LogStatus, type RegisterProjection, type WriteOutcome } from '@baobabpost/platform-log'
import {
  createConfiguration, createPublisher, initialPublications, MAXIMUM_HISTORY_VERSIONS, PUBLISH_TIMEOUT_MILLISECONDS,
  sampleConfiguration, type Configuration, type Publication, type Publisher, type PublishResult
} from '@baobabpost/configuration'

interface Process {
  readonly projection: RegisterProjection
  readonly configuration: Configuration
  readonly publisher: Publisher
  readonly read: (now?: number) => void
}

/** A log in memory that processes append to and read when told. */
function createFleet (): { log: LogEntry[], join: () => Process } {
  const log: LogEntry[] = []
  let nonces = 0
  function join (): Process {
    const outcomes: WriteOutcome[] = []
    const projection = createRegisterProjection({
      retentionMilliseconds: 1_000_000,
      invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
      onBadRecord: () => {},
      onOutcomes: told => { outcomes.push(...told) }
    })
    const configuration = createConfiguration({ projection: projection })
    const append = (changes: LogRecord['changes']): string => {
      const nonce = `nonce-${nonces += 1}`
      log.push({ offset: log.length + 1, record: { author: 'test', nonce, changes } })
      return nonce
    }
    const publisher = createPublisher({ projection: projection, history: configuration.history, append })
    function read (now = 0): void {
      const batch = { entries: [...log], firstOffset: 1, nextOffset: log.length + 1, readStartedAt: now, hasReachedEnd: true }
      configuration.registersChanged(projection.apply(batch, now), now)
      publisher.handleWriteOutcomes(outcomes.splice(0))
      publisher.answerRefusedPublications()
    }
    return { projection: projection, configuration, publisher, read }
  }
  return { log, join }
}

function publish (process: Process, publication: Publication, now = 0): PublishResult[] {
  const results: PublishResult[] = []
  process.publisher.publish(publication, now, result => { results.push(result) })
  return results
}

function describeResult (result: PublishResult | undefined): string {
  if (result === undefined) return 'waiting'
  return `${result.kind === 'held' ? 'held' : result.problem.kind} ${result.version}`
}

const team = (share: number): Publication['value'] => ({ name: 'dakar', share, maximumQueuedTasks: 10 })

function startedProcess (): Process {
  const process = createFleet().join()
  const { lending, ledger } = sampleConfiguration()
  for (const publication of [...initialPublications(lending), ...initialPublications(ledger)]) publish(process, publication)
  process.read()
  return process
}

const job = (fields: Partial<JobRequest>): JobRequest => ({
  template: 'checkout-tool', customer: 'medina', tasks: [{ tool: 'drill', member: 'awa' }], ...fields
})

describe('resolving', () => {
  test('merges the customer over the template, for both deployments', () => {
    const { configuration } = startedProcess()
    expect(configuration.resolveJob(job({}))).toMatchObject({
      kind: 'resolved',
      request: {
        service: 'lending',
        path: '/lending/checkout-tool',
        team: 'dakar',
        callType: 'non-idempotent',
        parameters: { depositFrancs: 4_000, branch: 'medina' }
      }
    })
    const call = { template: 'post-payment', customer: 'kalamaja', input: { account: 'a', amountCents: 1 } }
    expect(configuration.resolveCall(call)).toMatchObject({ kind: 'resolved', request: { service: 'ledger' } })
  })

  test.each([
    ['unknown-template', job({ template: 'nothing' }), "'nothing'"],
    ['unknown-customer', job({ customer: 'nobody' }), "'nobody'"],
    ['unknown-parameter', job({ tasks: [{ tool: 'a', member: 'b' }, { branch: 'c' }] }), 'Task 1'],
    ['missing-parameter', job({ tasks: [{ tool: 'a', member: 'b' }, { tool: 'a' }] }), 'Task 1']
  ] as Array<[string, JobRequest, string]>)('%s is refused before anything starts', (reason, request, named) => {
    const resolution = startedProcess().configuration.resolveJob(request)
    if (resolution.kind !== 'problem') throw new Error('it was resolved')
    expect(resolution.problem).toMatchObject({ kind: 'not-run-invalid', ran: 'no', reason })
    expect(resolution.problem.detail).toContain(named)
  })

  test('follows a change of template or customer at once, and a removal', () => {
    const process = startedProcess()
    process.configuration.resolveJob(job({}))
    const { version } = process.projection.read('customer/medina') ?? { version: 0 }
    publish(process, { register: 'customer/medina', value: null, replaces: version })
    process.read()
    expect(process.configuration.resolveJob(job({}))).toMatchObject({ problem: { reason: 'unknown-customer' } })
  })

  test('every sample is valid, and names its teams and customers', () => {
    const { lending, ledger } = sampleConfiguration()
    for (const deployment of [lending, ledger]) {
      const faults = initialPublications(deployment).map(({ register, value }) => findValueFault(register, value))
      expect(faults.filter(fault => fault !== undefined)).toEqual([])
      const teams = deployment.teams.map(({ name }) => name)
      expect(deployment.customers.filter(customer => !teams.includes(customer.team))).toEqual([])
    }
  })
})

describe('publishing', () => {
  test('is checked before it is accepted', () => {
    const fleet = createFleet()
    const process = fleet.join()
    const bad = publish(process, { register: 'team/dakar', value: { name: 'dakar', share: -1 }, replaces: 0 })
    const foreign = publish(process, { register: 'partition/1', value: null, replaces: 0 })
    const misspelt = publish(process, { register: 'team/dakar', value: { ...team(1) as object, shares: 2 }, replaces: 0 })
    expect([bad, foreign, misspelt].flat().map(describeResult)).toEqual(Array(3).fill('malformed-request 0'))
    expect(fleet.log).toHaveLength(0)
  })

  test('racing operators get one winner and clear conflicts', () => {
    const race = fc.tuple(fc.nat(2), fc.integer({ min: 1, max: 9 }))
    fc.assert(fc.property(fc.array(race, { minLength: 2, maxLength: 8 }), races => {
      const fleet = createFleet()
      const processes = [fleet.join(), fleet.join(), fleet.join()]
      const results = races.map(([at, share]) =>
        publish(processes[at] as Process, { register: 'team/dakar', value: team(share), replaces: 0 }))
      for (const process of processes) process.read()
      const winner = processes[0]?.projection.read('team/dakar')
      expect(winner?.version).toBe(1)
      for (const [index, [, share]] of races.entries()) {
        const expected = share === races[0]?.[1] ? 'held 1' : 'version-conflict 1'
        expect(results[index]?.map(describeResult)).toEqual([expected])
      }
      for (const process of processes) expect(process.projection.read('team/dakar')).toEqual(winner)
    }))
  })

  test('the same publication again is published once, at this process and at another', () => {
    const fleet = createFleet()
    const [first, second] = [fleet.join(), fleet.join()]
    const publication = { register: 'team/dakar', value: team(1), replaces: 0 }
    const results = [publish(first, publication), publish(first, publication), publish(second, publication)]
    expect(fleet.log).toHaveLength(2)
    first.read()
    second.read()
    results.push(publish(first, publication))
    expect(results.flat().map(describeResult)).toEqual(['held 1', 'held 1', 'held 1', 'held 1'])
  })

  test('a conflict tells the version in force', () => {
    const process = startedProcess()
    const current = process.projection.read('team/dakar')?.version ?? 0
    const result = publish(process, { register: 'team/dakar', value: team(7), replaces: 0 })[0]
    expect(describeResult(result)).toBe(`version-conflict ${current}`)
  })

  test('while the log is down the outcome is unknown after a bound, and the repetition finds it', () => {
    const process = createFleet().join()
    const publication = { register: 'team/dakar', value: team(1), replaces: 0 }
    const results = publish(process, publication, 1_000)
    process.publisher.tick(1_000 + PUBLISH_TIMEOUT_MILLISECONDS - 1)
    expect(results).toHaveLength(0)
    process.publisher.tick(1_000 + PUBLISH_TIMEOUT_MILLISECONDS)
    expect(results.map(describeResult)).toEqual(['outcome-unknown 0'])
    process.read()
    expect(publish(process, publication).map(describeResult)).toEqual(['held 1'])
  })
})

test('the history of a register is bounded and newest first', () => {
  const process = createFleet().join()
  for (let version = 0; version < 30; version += 1) {
    publish(process, { register: 'team/dakar', value: team(version + 1), replaces: version })
    process.read()
  }
  const history = process.configuration.history('team/dakar')
  expect(history).toHaveLength(MAXIMUM_HISTORY_VERSIONS)
  expect(history[0]).toMatchObject({ version: 30, previousVersion: 29 })
})

test('the status tells where configuration came from and how far behind it is', () => {
  const fleet = createFleet()
  const [peer, fresh] = [fleet.join(), fleet.join()]
  publish(peer, { register: 'team/dakar', value: team(1), replaces: 0 })
  peer.read()
  fresh.configuration.registersChanged(fresh.projection.adopt(peer.projection.changesSince(0, 100)), 0)
  const standing: LogStatus = {
    position: 0, end: 3, endReadStartedAt: undefined, behindSince: 500, pendingAppends: 0
  }
  expect(fresh.configuration.status(standing))
    .toEqual({ position: 1, behindRecords: 2, behindSince: 500, source: 'peer' })
  fresh.read()
  expect(fresh.configuration.status({ ...standing, behindSince: undefined }).source).toBe('log')
})
