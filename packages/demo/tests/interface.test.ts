import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { promisify } from 'node:util'
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { callerSecret, type Fleet } from '@baobabpost/demo'
import { createRoutes } from '@baobabpost/entry'
import { createSubmissionKey, startSmallFleet } from './small-fleet.js'

const runFile = promisify(execFile)
const page = readFileSync(new URL('../../../docs/INTERFACE.md', import.meta.url), 'utf8')
const examples = [...page.matchAll(/```sh\n(.*?)```\n+```json\n(.*?)```/gs)].map(([, command, answer]) => ({
  command: command ?? '', answer: answer ?? ''
}))

let fleet: Fleet
const submission = createSubmissionKey()

beforeAll(async () => { fleet = await startSmallFleet() })
afterAll(async () => { await fleet.stop() })

describe('docs/INTERFACE.md', () => {
  test('has examples', () => {
    expect(examples.length).toBeGreaterThanOrEqual(7)
  })

  test.each(examples)('example runs: $command', async ({ command, answer }) => {
    const environment = {
      PATH: process.env.PATH,
      ENTRY: fleet.entries[0]!.url,
      OTHER: fleet.entries[1]!.url,
      KEY: callerSecret('medina'),
      SUBMISSION: submission,
      UNUSED: createSubmissionKey()
    }
    const { stdout } = await runFile('sh', ['-c', command], { env: environment })
    const expected = JSON.parse(answer.replaceAll('SUBMISSION', submission)) as Record<string, unknown>
    expect(JSON.parse(stdout)).toMatchObject(expected)
  })

  test('lists every route', () => {
    const [entry] = fleet.entries
    const routes = createRoutes({
      core: entry!.core, now: Date.now, invariants: { check: () => {}, violations: () => 0 }
    })
    for (const { method, path } of routes) {
      const routeText = `${method} ${path.replace(':submission', 'SUBMISSION')}`
      expect(page, routeText).toContain(routeText)
    }
  })
})
