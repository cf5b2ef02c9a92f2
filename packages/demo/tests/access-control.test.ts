import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { createInvariants } from '@baobabpost/common'
import { callerSecret, OPERATOR_SECRET, send, type CallerAnswer, type CallerRequest, type Fleet } from '@baobabpost/demo'
import { createRoutes, type Route } from '@baobabpost/entry'
import { countStarts, createSubmissionKey, createTasks, startSmallFleet, submit } from './small-fleet.js'

let fleet: Fleet
let routes: readonly Route[]

beforeAll(async () => {
  fleet = await startSmallFleet()
  const { core } = fleet.entries[0]!
  routes = createRoutes({ core, now: Date.now, invariants: createInvariants(() => {}) })
})
afterAll(async () => { await fleet.stop() })

function knock (route: Pick<Route, 'method' | 'path'>, secret?: string): Promise<CallerAnswer> {
  const path = route.path.replace(':submission', createSubmissionKey()).replaceAll(/:[a-z]+/g, 'template')
  const request: CallerRequest = { method: route.method, url: fleet.entries[0]!.url, path }
  return send(secret === undefined ? request : { ...request, secret })
}

describe('doors of an entry', () => {
  test('only liveness and readiness are open', () => {
    expect(routes.filter(route => route.access === 'open').map(route => route.path).sort()).toEqual(['/livez', '/readyz'])
  })

  test('every other door refuses a request without a key and one with a wrong key', async () => {
    for (const route of routes.filter(candidate => candidate.access !== 'open')) {
      const name = `${route.method} ${route.path}`
      expect(await knock(route), name).toMatchObject({ status: 401, body: { kind: 'unauthenticated', ran: 'no' } })
      expect(await knock(route, 'a-key-that-nobody-has'), name).toMatchObject({ status: 401 })
    }
  })

  test("every operator's door refuses a caller", async () => {
    const doors = routes.filter(route => route.access === 'operator')
    expect(doors.length).toBeGreaterThan(5)
    for (const route of doors) {
      const answer = await knock(route, callerSecret('medina'))
      expect(answer, `${route.method} ${route.path}`).toMatchObject({ status: 403, body: { kind: 'forbidden', ran: 'no' } })
    }
  })
})

describe("another customer's key", () => {
  test.each([['GET', ''], ['DELETE', ''], ['GET', '/explanation']] as const)(
    '%s of a submission%s is forbidden through every entry and changes nothing', async (method, suffix) => {
      const submission = createSubmissionKey()
      const tasks = createTasks(40, 30)
      await submit(fleet.entries[0]!, submission, tasks, 0)
      for (const { url } of fleet.entries) {
        const path = `/v1/submissions/${submission}${suffix}`
        const answer = await send({ method, url, path, secret: callerSecret('kalamaja') })
        expect(answer.status).toBe(403)
        expect(JSON.stringify(answer.body)).not.toContain('tool-')
      }
      expect((await submit(fleet.entries[1]!, submission, tasks)).body).toMatchObject({ state: 'complete' })
    })

  test('a submission for another customer is refused and starts nothing', async () => {
    const submission = createSubmissionKey()
    const answer = await send({
      method: 'PUT',
      url: fleet.entries[0]!.url,
      path: `/v1/submissions/${submission}`,
      secret: callerSecret('kalamaja'),
      body: { template: 'reserve-tool', customer: 'medina', tasks: createTasks(3, 5) }
    })
    expect(answer).toMatchObject({ status: 403, body: { kind: 'forbidden', ran: 'no' } })
    expect([...countStarts(fleet).keys()].filter(task => task.startsWith(submission))).toEqual([])
  })

  test("a call for another customer is refused, and an operator's is not", async () => {
    const body = { template: 'reserve-tool', customer: 'medina', input: { tool: 'drill-7', member: 'awa' } }
    const call = (secret: string): Promise<CallerAnswer> =>
      send({ method: 'POST', url: fleet.entries[2]!.url, path: '/v1/calls', secret, body })
    expect((await call(callerSecret('kalamaja'))).status).toBe(403)
    expect((await call(OPERATOR_SECRET)).status).toBe(200)
  })
})
