/**
 * A small deployment on loopback for the scripts of the cases: the project's entries and agents as separate processes,
 * started with the commands of deploy/system.toml, and stand-ins for the platform's store, the executors and the
 * clients. Everything is on addresses of 127.0.0.0/8 and the real clock.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as pause } from 'node:timers/promises'
import { createExecutor } from './executor.mjs'
import { createExecutorThread } from './executor-thread.mjs'
import { startProxy } from './proxy.mjs'
import { createStore } from './store.mjs'

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const HOST = 'nony24.example'
export const PREFIX = '/lohu930/'
export const SERVICE = 'huvo11a'
/** Bounds of the site kt-portaal, see DEPLOY.md and the site file. */
export const BOUNDS = {
  contact_window_ms: 3000,
  ack_timeout_ms: 4000,
  drain_ms: 2000,
  grace_period_s: 6,
  configuration_ms: 2000,
  hold_limit_ms: 1000,
  stop_timeout_ms: 50,
  cancel_ms: 3000,
  visible_ms: 3000,
  resend_ms: 1300,
  heartbeat_interval_ms: 1500
}
const PORTS = { front: 8161, app: 8165, control: 8166, ready: 8167, store: 8169, internal: '7720,7735' }

export { pause }

/** Claims a prefix of loopback addresses by listening at its last address until this process ends. */
async function claimPrefix () {
  for (let offset = 0; offset < 200; offset += 1) {
    const octet = 20 + (process.pid * 7 + offset) % 220
    const guard = createServer()
    const isFree = await new Promise(resolve => {
      guard.once('error', () => { resolve(false) })
      guard.listen({ host: `127.${octet}.255.254`, port: PORTS.internal.split(',')[1], exclusive: true }, () => { resolve(true) })
    })
    // Processes use 127.N.1.x, and where calls go through proxies these use 127.N.2.x.
    if (isFree) return `127.${octet}.1`
  }
  throw new Error('no free loopback prefix')
}

/** Returns the command of a role in deploy/system.toml as words, and the variables that it sets. */
function readRole (role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const section = new RegExp(`^\\[roles\\.${role}\\]([^[]*)`, 'm').exec(text)?.[1] ?? ''
  const words = /^run = "([^"]*)"/m.exec(section)?.[1]?.split(' ')
  if (words === undefined) throw new Error(`deploy/system.toml has no role ${role}`)
  const env = {}
  for (const [, name, value] of (/^env = \{([^}]*)\}/m.exec(section)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)) env[name] = value
  return { words, env }
}

/** Opens the record of a case; its lines carry milliseconds since its start. They are written ten times a second. */
export function openRecord (directory) {
  const path = join(directory, 'record.txt')
  writeFileSync(path, '')
  const startedAt = performance.now()
  let lines = ''
  const flush = () => {
    if (lines !== '') appendFileSync(path, lines)
    lines = ''
  }
  setInterval(flush, 100).unref()
  process.on('exit', flush)
  return text => { lines += `${String(Math.round(performance.now() - startedAt)).padStart(6)} ms  ${text}\n` }
}

/**
 * Starts a site.
 *
 * @param options - `fronts` and `sides`: numbers of machines; `record`: writes a line; `capacity` and `kind` of all
 *   executors.
 */
export async function startSite ({ fronts, sides, record, hasProxies = false, capacity = { cpu: 32_000, requested_memory_mb: 131_072, gpu: 0 }, ...options }) {
  const base = await claimPrefix()
  const directory = mkdtempSync(join(tmpdir(), 'baobabpost-review-'))
  const proxyBase = base.replace(/1$/, hasProxies ? '2' : '1')
  const zones = options.zones ?? ['ulemiste', 'mustamae']
  const storeAddress = `${base}.1:${PORTS.store}`
  const processes = []
  const store = createStore()
  await store.listen(`${base}.1`, PORTS.store)
  store.write('config', JSON.stringify({
    version: 3,
    routes: [{
      name: 'lohu',
      host: HOST,
      path_prefix: PREFIX,
      service: SERVICE,
      priority: 0,
      max_attempts: 4,
      stretch: 1.6,
      target_latency_ms: 60,
      timeout_ms: 30_000
    }],
    services: [{ name: SERVICE, enforces_capacity: false }],
    limits: { max_body_bytes: 262_144 }
  }))
  const seeds = Array.from({ length: Math.min(3, fronts) }, (_, index) => `${proxyBase}.${10 + index}:${PORTS.control}`).join(',')

  function settings (name, role, machineClass, address, zone, lines) {
    return [
      `node=${name}`, `role=${role}`, `machine_class=${machineClass}`, `ip_address=${address}`, `zone=${zone}`, 'region=ee-pohi',
      ...zones.map(each => `zones.${each}=ee-pohi`), `internal_ports=${PORTS.internal}`, `seeds=${seeds}`,
      'bootstrap=true', 'limits.cores=1', 'limits.memory_mb=350', 'limits.file_descriptors=4100', 'limits.link_mbps=1000.0',
      'limits.disk_mb=0', 'discovery=local', 'entry=virtual_ip', 'heartbeat_interval_ms=1500',
      'contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
      ...Object.entries(BOUNDS).filter(([key]) => key !== 'heartbeat_interval_ms').map(([key, value]) => `bounds.${key}=${value}`),
      'bounds.far_multiplier=1.5', 'orders=call', `platform.address=${storeAddress}`, 'platform.form=log', ...lines, ''
    ].join('\n')
  }

  function createMachine (name, role, address, text) {
    const path = join(directory, `${name}.conf`)
    writeFileSync(path, text)
    const log = openSync(join(directory, `${name}.log`), 'a')
    const { words: [program, ...words], env } = readRole(role)
    const machine = { name, role, address, child: undefined }
    machine.start = () => {
      machine.child = spawn(program === 'node' ? process.execPath : program, words, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: directory, ...env, BAOBABPOST_SETTINGS: path },
        stdio: ['ignore', log, log]
      })
    }
    machine.signal = name => { machine.child.kill(name) }
    machine.isRunning = () => machine.child !== undefined && machine.child.exitCode === null && machine.child.signalCode === null
    machine.log = () => readFileSync(join(directory, `${name}.log`), 'utf8')
    processes.push(machine)
    return machine
  }

  /** Starts the proxy of a machine for calls of other machines. */
  async function addProxy (machine, number) {
    if (!hasProxies) return
    machine.proxy = await startProxy({
      host: `${proxyBase}.${number}`, port: Number(PORTS.internal.split(',')[0]), target: `${base}.${number}`, from: `${base}.`, to: `${proxyBase}.`
    })
  }

  const entries = []
  const agents = []
  const executors = []
  for (let index = 0; index < fronts; index += 1) {
    const address = `${base}.${10 + index}`
    const zone = zones[index % zones.length]
    entries.push(createMachine(`front-${index + 1}`, 'entry', address, settings(`front-${index + 1}`, 'entry', 'front', address, zone, [
      'serves=front,control', `listen_addresses.front=${address}:${PORTS.front}`,
      `listen_addresses.ready=${address}:${PORTS.ready}`, `listen_addresses.control=${address}:${PORTS.control}`
    ])))
    await addProxy(entries.at(-1), 10 + index)
  }
  for (let index = 0; index < sides; index += 1) {
    const address = `${base}.${30 + index}`
    const zone = options.sideZones?.[index] ?? zones[index % zones.length]
    const executor = (options.hasThreads === true ? createExecutorThread : createExecutor)({
      id: `i-${index + 1}`,
      machine: `side-${index + 1}`,
      service: SERVICE,
      zone,
      address,
      port: PORTS.app,
      control: `${address}:${PORTS.control}`,
      capacity,
      labels: [options.kinds?.[index % options.kinds.length] ?? 'a', `r1-${1 + Math.floor(index / 3)}`],
      record
    })
    await executor.listen()
    executors.push(executor)
    agents.push(createMachine(`side-${index + 1}`, 'agent', address, settings(`side-${index + 1}`, 'agent', 'side', address, zone, [
      'serves=side', `listen_addresses.control=${address}:${PORTS.control}`, `app=${address}:${PORTS.app}`, `service=${SERVICE}`
    ])))
    await addProxy(agents.at(-1), 30 + index)
  }
  for (const machine of processes) machine.start()

  async function isReady ({ address }) {
    const { status } = await send({ address, port: PORTS.ready, method: 'GET', path: '/readiness', timeout: 500 })
    return status === 200
  }

  return {
    base,
    store,
    entries,
    agents,
    executors,
    directory,
    isReady,
    waitUntilReady: async (seconds = 20) => {
      const deadline = performance.now() + 1_000 * seconds
      for (const entry of entries) {
        while (!await isReady(entry)) {
          if (performance.now() > deadline) throw new Error(`${entry.name} is not ready:\n${entry.log().slice(-2_000)}`)
          await pause(100)
        }
      }
      // Entries learn of all agents within seconds.
      await pause(2_500)
    },
    close: async () => {
      for (const machine of processes) {
        if (!machine.isRunning()) continue
        machine.signal('SIGCONT')
        machine.signal('SIGKILL')
      }
      while (processes.some(machine => machine.isRunning())) await pause(10)
      for (const executor of executors) executor.close()
      for (const { proxy } of processes) proxy?.close()
      store.close()
      if (process.env.KEEP !== '1') rmSync(directory, { recursive: true, force: true })
    }
  }
}

/** Sends a request on a connection of its own. Resolves to the status, or to 0 with the reason why there is none. */
export function send ({ address, port, method, path, headers = {}, body, timeout }) {
  return new Promise(resolve => {
    const outgoing = request({ host: address, port, method, path, headers, agent: false }, incoming => {
      const chunks = []
      incoming.on('data', chunk => { chunks.push(chunk) })
      incoming.on('end', () => { resolve({ status: incoming.statusCode, body: Buffer.concat(chunks).toString() }) })
      incoming.on('error', failure => { resolve({ status: 0, body: String(failure) }) })
    })
    outgoing.setTimeout(timeout, () => { outgoing.destroy(new Error('no answer in time')) })
    outgoing.on('error', failure => { resolve({ status: 0, body: String(failure) }) })
    outgoing.end(body)
  })
}

/** Sends a call of a client to the front address of an entry. */
export function callFront (entry, method, id, { body, deadline = 30_000 } = {}) {
  return send({
    address: entry.address,
    port: PORTS.front,
    method,
    path: `${PREFIX}${id}`,
    headers: { host: HOST, 'content-type': 'application/json', 'x-deadline-milliseconds': String(deadline) },
    body: body === undefined ? undefined : JSON.stringify(body),
    timeout: deadline
  })
}

/** Returns the number of an id with 16 hexadecimal digits. */
export function idOf (number) {
  return number.toString(16).padStart(16, '0')
}

/**
 * Runs a case: exits with 1 if it finds broken rules, with 0 if it finds none, and with 2 if it could not run.
 *
 * @param isDisrupted - Whether the case is played with its disruption, for the record.
 */
export async function runCase (directory, isDisrupted, play) {
  const record = openRecord(directory)
  record(`disruption: ${isDisrupted ? 'yes' : 'no'}`)
  const state = { site: undefined }
  const guard = setTimeout(() => { finish(2, 'the case took too long') }, 115_000)
  async function finish (code, text) {
    clearTimeout(guard)
    record(text)
    process.stdout.write(`${text}\n`)
    await state.site?.close()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(2, `ended by ${signal}`) })
  try {
    const broken = await play({ record, start: async options => (state.site = await startSite({ record, ...options })) })
    for (const line of broken) record(`broken: ${line}`)
    await finish(broken.length > 0 ? 1 : 0, broken.length > 0 ? `the rule was broken: ${broken[0]}` : 'the rule held')
  } catch (failure) {
    await finish(2, `the case could not run: ${failure.stack}`)
  }
}

/** Returns a line for each pair of runs of one task that overlap in time, on executors that are up. */
export function findOverlaps (executors) {
  const byTask = new Map()
  for (const executor of executors) {
    for (const run of executor.history) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
  }
  const lines = []
  for (const [task, runs] of byTask) {
    for (const [index, first] of runs.entries()) {
      for (const second of runs.slice(index + 1)) {
        const from = Math.max(first.startedAt, second.startedAt)
        const to = Math.min(first.endedAt ?? Infinity, second.endedAt ?? Infinity)
        if (from < to) lines.push(`${task} ran on ${first.machine} (run ${first.run}) and ${second.machine} (run ${second.run}) at once for ${Math.round(to - from)} ms`)
      }
    }
  }
  return lines
}
