/**
 * Measures an agent process over sockets: processor time, memory and network bytes while idle with some entries, and
 * processor time per task under load from one entry. Entries and upstream run in this process.
 *
 * Run after the build: node packages/agent/tools/measure-agent.mjs [entries] [tasks] [milliseconds per task] [slots]
 */
import { spawn } from 'node:child_process'
import { subscribe } from 'node:diagnostics_channel'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { createEntryIdentity, createSubmissionKey, silentLogger, silentMetrics } from '@baobabpost/common'
import { createLink } from '@baobabpost/link'
import { createStandInUpstream } from '@baobabpost/stand-in-upstream'

const ENTRIES = Number(process.argv[2] ?? 3)
const TASKS = Number(process.argv[3] ?? 30_000)
const RUN_MILLISECONDS = Number(process.argv[4] ?? 5)
const WARM_UP_SECONDS = 15
const IDLE_SECONDS = 20
const KEY = 'a-key-for-measuring'
const CLOCK_TICKS_PER_SECOND = 100
const SLOTS = Number(process.argv[5] ?? 32)

const sockets = new Set()
subscribe('net.server.socket', ({ socket }) => { sockets.add(socket) })
subscribe('net.client.socket', ({ socket }) => { sockets.add(socket) })

function countBytes () {
  let bytes = 0
  for (const { bytesRead, bytesWritten } of sockets) bytes += bytesRead + bytesWritten
  return bytes
}

function processorSeconds (pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND
}

function residentMegabytes (pid) {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024
}

const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

const entries = []
const state = { agent: undefined, window: 0, unfinished: 0, finished: 0, unsuccessful: 0, reportCount: 0, onFreeCapacity: () => {} }

async function startEntry (name) {
  const identity = createEntryIdentity(name)
  const link = await createLink({
    identity,
    listenAddress: '127.0.0.1:0',
    keys: [KEY],
    logger: silentLogger,
    metrics: silentMetrics,
    onMessage (from, _address, { method, parameters }) {
      if (method === 'announce') {
        state.agent = from
        if (entries[0]?.link === link) state.window = parameters.window
        const addresses = entries.map(entry => ({ identity: entry.identity, address: entry.link.address }))
        const { sequence } = parameters
        link.send(from, {
          method: 'announced',
          parameters: { sequence, standing: 'joined', entries: addresses, registers: [], configurationPosition: 0 }
        })
      } else if (method === 'report') {
        link.send(from, { method: 'acknowledge', parameters: { sequences: [parameters.sequence] } })
        state.window = parameters.window
        state.reportCount += 1
        for (const { tasks } of parameters.submissions) {
          for (const { outcome } of tasks) {
            state.unfinished -= 1
            state.finished += 1
            if (outcome.status !== 'succeeded') state.unsuccessful += 1
          }
        }
      }
      state.onFreeCapacity()
    }
  })
  entries.push({ identity, link })
}

async function runLoad () {
  let submission = createSubmissionKey()
  let index = 0
  let sent = 0
  await new Promise(resolve => {
    state.onFreeCapacity = () => {
      if (state.finished >= TASKS) resolve()
      const freeTasks = Math.min(state.window - state.unfinished, TASKS - sent)
      if (freeTasks <= 0) return
      if (index + freeTasks > 2_000) {
        submission = createSubmissionKey()
        index = 0
      }
      const tasks = Array.from({ length: freeTasks }, () => ({ index: index++, input: { tool: 'drill' } }))
      sent += freeTasks
      state.unfinished += freeTasks
      entries[0].link.send(state.agent, {
        method: 'dispatch',
        parameters: {
          backlog: TASKS - sent,
          groups: [{
            header: { submission, digest: 'd'.repeat(64), taskCount: 2_000, customer: 'medina', template: 'lend' },
            ownership: { partition: 7, epoch: 3 },
            path: '/lend',
            timeoutMilliseconds: 5_000,
            parameters: {},
            urgent: false,
            startBefore: Date.now() + 2_000,
            tasks
          }]
        }
      })
    }
    state.onFreeCapacity()
  })
  state.onFreeCapacity = () => {}
}

const upstream = await createStandInUpstream({ name: 'one', port: 0, slots: SLOTS, speed: 1, defaultMilliseconds: RUN_MILLISECONDS })
for (let number = 0; number < ENTRIES; number += 1) await startEntry(`entry-${number}`)
const agent = spawn(process.execPath, [
  fileURLToPath(new URL('../dist/main.js', import.meta.url)),
  '--name=agent-1', '--listen-address=127.0.0.1:0', '--failure-domain=dakar-1', '--service=lending',
  `--slots=${SLOTS}`, `--upstream-address=${upstream.address}`, `--entry-addresses=${entries[0].link.address}`,
  `--link-keys=${KEY}`, '--log-level=warn'
], { stdio: 'inherit' })
const exited = new Promise(resolve => { agent.once('exit', resolve) })

while (state.window === 0) await pause(50)
await pause(WARM_UP_SECONDS * 1_000)
const idleBytes = countBytes()
const idleSeconds = processorSeconds(agent.pid)
await pause(IDLE_SECONDS * 1_000)
const idleShare = (processorSeconds(agent.pid) - idleSeconds) / IDLE_SECONDS * 100
console.log(`${ENTRIES} entries, idle: ${idleShare.toFixed(2)}% of a core, ${((countBytes() - idleBytes) / IDLE_SECONDS).toFixed(0)} bytes per second, ${residentMegabytes(agent.pid).toFixed(0)} MB`)

const loadSeconds = processorSeconds(agent.pid)
const loadStart = Date.now()
await runLoad()
const microseconds = (processorSeconds(agent.pid) - loadSeconds) / TASKS * 1e6
const rate = TASKS / (Date.now() - loadStart) * 1_000
console.log(`load: ${TASKS} tasks, ${rate.toFixed(0)} per second, ${(TASKS / state.reportCount).toFixed(1)} tasks per report, ${microseconds.toFixed(0)} microseconds of processor time per task, ${state.unsuccessful} not succeeded, ${residentMegabytes(agent.pid).toFixed(0)} MB`)
let maximumStarts = 0
for (const starts of upstream.starts().values()) maximumStarts = Math.max(maximumStarts, starts)
console.log(`maximum starts of one task: ${maximumStarts}`)

agent.kill('SIGTERM')
console.log(`exit code ${await exited}`)
for (const { link } of entries) await link.close()
await upstream.close()
