import { describe, expect, test } from 'vitest'
import fc from 'fast-check'
import { createInvariants } from '@baobabpost/common'
import type { JobRequest, LogEntry, LogRecord } from '@baobabpost/messages'
import { createRegisterProjection, findValueFault, type LogStatus, type RegisterProjection, type WriteOutcome } from '@baobabpost/platform-log'
import {
  createConfiguration, createPublisher, initialPublications, MAXIMUM_HISTORY_VERSIONS, PUBLISH_TIMEOUT_MILLISECONDS,
  sampleConfiguration, type Configuration, type Publication, type Publisher, type PublishResult
} from '@baobabpost/configuration'

interface FleetProcess {
  readonly projection: RegisterProjection
  readonly configuration: Configuration
  readonly publisher: Publisher
  readonly readLog: (now?: number) => void
}

/** Creates an in-memory log; its processes append to it at once and read it when `readLog` is called. */
function createFleet (): { log: LogEntry[], startProcess: () => FleetProcess } {
  const log: LogEntry[] = []
  let nonces = 0
  function startProcess (): FleetProcess {
    const outcomes: WriteOutcome[] = []
    const projection = createRegisterProjection({
      retentionMilliseconds: 1_000_000,
      invariants: createInvariants((name, detail) => { throw new Error(`${name}: ${detail}`) }),
      onBadRecord: () => {},
      onOutcomes: writeOutcomes => { outcomes.push(...writeOutcomes) }
    })
    const configuration = createConfiguration({ projection })
    const append = (changes: LogRecord['changes']): string => {
      const nonce = `nonce-${nonces += 1}`
      log.push({ offset: log.length + 1, record: { author: 'test', nonce, changes } })
      return nonce
    }
    const publisher = createPublisher({ projection, history: configuration.history, append })
    function readLog (now = 0): void {
      const batch = { entries: [...log], firstOffset: 1, nextOffset: log.length + 1, readStartedAt: now, hasReachedEnd: true }
      configuration.registersChanged(projection.apply(batch, now), now)
      publisher.handleWriteOutcomes(outcomes.splice(0))
      publisher.answerRefusedPublications()
    }
    return { projection, configuration, publisher, readLog }
  }
  return { log, startProcess }
}

function publish (process: FleetProcess, publication: Publication, now = 0): PublishResult[] {
  const results: PublishResult[] = []
  process.publisher.publish(publication, now, result => { results.push(result) })
  return results
}

function describeResult (result: PublishResult | undefined): string {
  if (result === undefined) return 'waiting'
  return `${result.kind === 'held' ? 'held' : result.problem.kind} ${result.version}`
}

const team = (share: number): Publication['value'] => ({ name: 'dakar', share, maximumQueuedTasks: 10 })

function startProcessWithSamples (): FleetProcess {
  const process = createFleet().startProcess()
  const { lending, ledger } = sampleConfiguration()
  for (const publication of [
    ...initialPublications(lending), ...initialPublications(ledger)
  ]) publish(process, publication)
  process.readLog()
  return process
}

const job = (fields: Partial<JobRequest>): JobRequest => ({
  template: 'checkout-tool', customer: 'medina', tasks: [{ tool: 'drill', member: 'awa' }], ...fields
})

describe('resolving', () => {
  test("a customer's parameters override the template's defaults, in both deployments", () => {
    const { configuration } = startProcessWithSamples()
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
  ] as Array<[string, JobRequest, string]>)('a request with %s is refused before any task starts', (reason, request, namedInDetail) => {
    const resolution = startProcessWithSamples().configuration.resolveJob(request)
    if (resolution.kind !== 'problem') throw new Error('it was resolved')
    expect(resolution.problem).toMatchObject({ kind: 'not-run-invalid', ran: 'no', reason })
    expect(resolution.problem.detail).toContain(namedInDetail)
  })

  test('a removed customer is unknown to the next request, although its pairing was cached', () => {
    const process = startProcessWithSamples()
    process.configuration.resolveJob(job({}))
    const { version } = process.projection.read('customer/medina') ?? { version: 0 }
    publish(process, { register: 'customer/medina', value: null, replaces: version })
    process.readLog()
    expect(process.configuration.resolveJob(job({}))).toMatchObject({ problem: { reason: 'unknown-customer' } })
  })

  test('every sample is valid and its customers belong to teams of the sample', () => {
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
  test('an invalid publication is refused before it is appended', () => {
    const fleet = createFleet()
    const process = fleet.startProcess()
    const invalidValue = publish(process, { register: 'team/dakar', value: { name: 'dakar', share: -1 }, replaces: 0 })
    const otherKind = publish(process, { register: 'partition/1', value: null, replaces: 0 })
    const unknownMember = publish(process, { register: 'team/dakar', value: { ...team(1) as object, shares: 2 }, replaces: 0 })
    expect([invalidValue, otherKind, unknownMember].flat().map(describeResult)).toEqual(Array(3).fill('malformed-request 0'))
    expect(fleet.log).toHaveLength(0)
  })

  test('of concurrent publications the first is applied and different ones get a version conflict', () => {
    const publicationOfProcess = fc.tuple(fc.nat(2), fc.integer({ min: 1, max: 9 }))
    fc.assert(fc.property(fc.array(publicationOfProcess, { minLength: 2, maxLength: 8 }), publications => {
      const fleet = createFleet()
      const processes = [fleet.startProcess(), fleet.startProcess(), fleet.startProcess()]
      const results = publications.map(([processIndex, share]) =>
        publish(processes[processIndex] as FleetProcess, { register: 'team/dakar', value: team(share), replaces: 0 }))
      for (const process of processes) process.readLog()
      const winner = processes[0]?.projection.read('team/dakar')
      expect(winner?.version).toBe(1)
      for (const [index, [, share]] of publications.entries()) {
        const expected = share === publications[0]?.[1] ? 'held 1' : 'version-conflict 1'
        expect(results[index]?.map(describeResult)).toEqual([expected])
      }
      for (const process of processes) expect(process.projection.read('team/dakar')).toEqual(winner)
    }))
  })

  test('a publication repeated at the same process and at another is applied once', () => {
    const fleet = createFleet()
    const [first, second] = [fleet.startProcess(), fleet.startProcess()]
    const publication = { register: 'team/dakar', value: team(1), replaces: 0 }
    const results = [publish(first, publication), publish(first, publication), publish(second, publication)]
    expect(fleet.log).toHaveLength(2)
    first.readLog()
    second.readLog()
    results.push(publish(first, publication))
    expect(results.flat().map(describeResult)).toEqual(['held 1', 'held 1', 'held 1', 'held 1'])
  })

  test('a version conflict reports the version in force', () => {
    const process = startProcessWithSamples()
    const current = process.projection.read('team/dakar')?.version ?? 0
    const result = publish(process, { register: 'team/dakar', value: team(7), replaces: 0 })[0]
    expect(describeResult(result)).toBe(`version-conflict ${current}`)
  })

  test('the outcome is unknown if the log does not show it in time, and a repetition finds it', () => {
    const process = createFleet().startProcess()
    const publication = { register: 'team/dakar', value: team(1), replaces: 0 }
    const results = publish(process, publication, 1_000)
    process.publisher.tick(1_000 + PUBLISH_TIMEOUT_MILLISECONDS - 1)
    expect(results).toHaveLength(0)
    process.publisher.tick(1_000 + PUBLISH_TIMEOUT_MILLISECONDS)
    expect(results.map(describeResult)).toEqual(['outcome-unknown 0'])
    process.readLog()
    expect(publish(process, publication).map(describeResult)).toEqual(['held 1'])
  })
})

test('the history of a register is bounded and newest first', () => {
  const process = createFleet().startProcess()
  for (let version = 0; version < 30; version += 1) {
    publish(process, { register: 'team/dakar', value: team(version + 1), replaces: version })
    process.readLog()
  }
  const history = process.configuration.history('team/dakar')
  expect(history).toHaveLength(MAXIMUM_HISTORY_VERSIONS)
  expect(history[0]).toMatchObject({ version: 30, previousVersion: 29 })
})

test('the status reports the source of the configuration and how far it is behind the log', () => {
  const fleet = createFleet()
  const [peer, newProcess] = [fleet.startProcess(), fleet.startProcess()]
  publish(peer, { register: 'team/dakar', value: team(1), replaces: 0 })
  peer.readLog()
  newProcess.configuration.registersChanged(newProcess.projection.adopt(peer.projection.changesSince(0, 100)), 0)
  const logStatus: LogStatus = {
    position: 0, end: 3, endReadStartedAt: undefined, behindSince: 500, pendingAppends: 0
  }
  expect(newProcess.configuration.status(logStatus))
    .toEqual({ position: 1, behindRecords: 2, behindSince: 500, source: 'peer' })
  newProcess.readLog()
  expect(newProcess.configuration.status({ ...logStatus, behindSince: undefined }).source).toBe('log')
})
