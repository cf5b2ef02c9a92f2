/**
 * A small deployment on loopback: the project's own programs as separate processes, started with the `run` lines of
 * deploy/system.toml, and stand-ins for the platform's store, the executors and the clients. The stand-ins follow
 * PROTOCOL.md and DEPLOY.md of the users' pages. Times are in milliseconds.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Executor } from './executor.mjs'
import { Store } from './store.mjs'

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
export const HOST = 'nony24.example'
export const PREFIX = '/lohu930/'
export const SERVICE = 'huvo11a'
/** Ports of all machines of the deployment; free ones, chosen when it starts. */
export const PORTS = { front: 0, ready: 0, control: 0, app: 0, platform: 0, internal: 0 }

export const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

/** Writes what happened to `record.txt`, one JSON object a line. */
export class Record {
  constructor (directory) {
    this.path = join(process.env.RECORD_DIRECTORY ?? directory, 'record.txt')
    this.startedAt = performance.now()
    writeFileSync(this.path, '')
  }

  now () { return Math.round(performance.now() - this.startedAt) }

  write (event, fields = {}) {
    appendFileSync(this.path, `${JSON.stringify({ ms: this.now(), event, ...fields })}\n`)
  }
}

/** Claims a prefix of loopback addresses that no other process on the machine uses: a listener holds it. */
async function claimPrefix () {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const prefix = `127.${20 + Math.floor(Math.random() * 70)}.${1 + Math.floor(Math.random() * 250)}`
    const guard = createTcpServer()
    const isFree = await new Promise(resolve => {
      guard.once('error', () => { resolve(false) })
      guard.listen({ host: `${prefix}.250`, port: 8168, exclusive: true }, () => { resolve(true) })
    })
    if (isFree) return { prefix, guard }
  }
  throw new Error('no free loopback addresses')
}

/** Chooses ports that are free on an address of the prefix; a listener on all addresses would hold them there too. */
async function choosePorts (host) {
  const servers = []
  for (const name of Object.keys(PORTS)) {
    const server = createTcpServer()
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, host, resolve)
    })
    PORTS[name] = server.address().port
    servers.push(server)
  }
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
}

/** Reads the roles of the deploy file: the words of `run` and the variables of `env`. */
function readRoles () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const roles = {}
  for (const section of text.split(/^\[roles\./m).slice(1)) {
    const name = section.slice(0, section.indexOf(']'))
    const words = /^run = "(.*)"$/m.exec(section)[1].split(' ')
    const env = {}
    for (const [, key, value] of (/^env = \{(.*)\}$/m.exec(section)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)) env[key] = value
    roles[name] = { words, env }
  }
  return roles
}

/** One machine of the system with the process of its role. */
class Machine {
  constructor (site, role, name, host, lines) {
    Object.assign(this, { site, role, name, host, child: undefined })
    this.settings = join(site.directory, `${name}.conf`)
    this.log = join(site.directory, `${name}.log`)
    writeFileSync(this.settings, [...lines, ''].join('\n'))
  }

  start () {
    const { words: [program, ...words], env } = this.site.roles[this.role]
    const log = openSync(this.log, 'a')
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: `${dirname(process.execPath)}:${process.env.PATH}`,
        HOME: process.env.HOME ?? '/',
        BAOBABPOST_SETTINGS: this.settings,
        ...env
      },
      stdio: ['ignore', log, log]
    })
    const { child } = this
    child.on('error', () => {})
    child.once('exit', (code, signal) => { this.site.record.write('process ended', { machine: this.name, code, signal }) })
    this.site.record.write('process started', { machine: this.name, pid: child.pid })
  }

  isRunning () { return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null }

  signal (name) {
    if (!this.isRunning()) return
    this.site.record.write('signal', { machine: this.name, signal: name })
    this.child.kill(name)
  }

  async ended () { while (this.isRunning()) await pause(10) }
}

function settingsLines (site, { role, machineClass, name, host, zone, seeds, listen, app }) {
  return [
    `node=${name}`, `role=${role}`, `machine_class=${machineClass}`, `serves=${Object.keys(listen).join(',')}`,
    `ip_address=${host}`, `zone=${zone}`, 'region=ee-pohi',
    ...site.zones.map(each => `zones.${each}=ee-pohi`),
    ...Object.entries(listen).map(([kind, address]) => `listen_addresses.${kind}=${address}`),
    ...(app === undefined ? [] : [`app=${app}`, `service=${SERVICE}`]),
    `internal_ports=${PORTS.internal},${PORTS.internal + 15}`, `seeds=${seeds.join(',')}`, 'bootstrap=true',
    `counts_toward_tolerance=${machineClass === 'front'}`,
    `limits.cpu_share=${machineClass === 'front' ? 0.675 : 0.405}`, 'limits.cores=1',
    `limits.memory_mb=${machineClass === 'front' ? 350 : 218}`, 'limits.file_descriptors=4100',
    'limits.link_mbps=1000.0', 'limits.disk_mb=0', 'discovery=local', 'entry=virtual_ip',
    `heartbeat_interval_ms=${site.heartbeatInterval}`,
    'contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
    'fault_tolerance.machines=2', 'fault_tolerance.zones=0', 'fault_tolerance.regions=0',
    'bounds.seed_lag_s=3', 'bounds.reuse_after_s=2', 'bounds.contact_window_ms=3000', 'bounds.ack_timeout_ms=4000',
    'bounds.catch_up_s=4', 'bounds.drain_ms=2000', 'bounds.grace_period_s=6', 'bounds.loss_slack_ms=200',
    'bounds.configuration_ms=2000', 'bounds.rollback_slack_ms=250', 'bounds.max_stretch_ms=5000',
    'bounds.recovery_s=12', 'bounds.hold_limit_ms=1000', 'bounds.stop_timeout_ms=50', 'bounds.gang_timeout_ms=3000',
    'bounds.cancel_ms=3000', 'bounds.visible_ms=3000', 'bounds.early_ms=250', 'bounds.finish_s=14',
    'bounds.status_s=120', 'bounds.far_multiplier=1.5', 'bounds.checkpoint_interval_s=0.5', 'bounds.restore_ms=250',
    'bounds.notice_ms=4500', 'bounds.move_s=1.5', 'bounds.maintenance_duration_s=2', 'bounds.require_fencing=true',
    'bounds.lease_duration_ms=3000', 'bounds.thaw_ms=300', 'bounds.pace_ms=100', 'bounds.harm_ms=4000',
    'bounds.resend_ms=1300', 'orders=call', `platform.address=${site.storeAddress}`, 'platform.form=log',
    'platform.writes_per_s=800', 'platform.reads_per_s=2000', 'platform.parts=8', 'platform.append_ms=4.0',
    'platform.partition_mb_s=20.0', 'platform.read_mb_s=80.0', 'platform.record_bytes=262144',
    'platform.request_bytes=2097152', 'platform.keep_s=300', 'platform.partition_mb=200', 'platform.min_ttl_ms=1000',
    ...site.moreLines
  ]
}

export class Site {
  constructor (record, { entries = 2, agents = 3, zones = ['ulemiste', 'mustamae'], executor = {}, heartbeatInterval = 1_500, moreLines = [], routes } = {}) {
    Object.assign(this, { record, zones, heartbeatInterval, moreLines, executorOptions: executor })
    Object.assign(this, { entryCount: entries, agentCount: agents, roles: readRoles(), closers: [] })
    this.directory = mkdtempSync(join(tmpdir(), 'baobabpost-review-'))
    this.routes = routes ?? [{
      name: 'lohu',
      host: HOST,
      path_prefix: PREFIX,
      service: SERVICE,
      priority: 0,
      max_attempts: 2,
      stretch: 1.6,
      target_latency_ms: 60,
      timeout_ms: 1_500
    }]
  }

  configuration (version) {
    return JSON.stringify({
      version, routes: this.routes, services: [{ name: SERVICE }], limits: { max_body_bytes: 262_144 }
    })
  }

  /** Host of machine number `number` of the deployment. */
  host (number) { return `${this.prefix}.${number}` }

  async start () {
    const { prefix, guard } = await claimPrefix()
    await choosePorts(`${prefix}.251`)
    this.prefix = prefix
    this.closers.push(() => { guard.close() })
    this.store = new Store()
    this.store.write('config', this.configuration(3))
    this.storeAddress = `${this.host(1)}:${PORTS.platform}`
    await this.store.listen(this.host(1), PORTS.platform)
    this.closers.push(() => { this.store.close() })
    this.entries = []
    this.agents = []
    this.executors = []
    const seeds = Array.from({ length: Math.min(3, this.entryCount) }, (_, index) => `${this.host(10 + index)}:${PORTS.control}`)
    for (let index = 0; index < this.entryCount; index += 1) {
      const host = this.host(10 + index)
      const name = `front-${index + 1}`
      this.entries.push(new Machine(this, 'entry', name, host, settingsLines(this, {
        role: 'entry',
        machineClass: 'front',
        name,
        host,
        zone: this.zones[index % this.zones.length],
        seeds,
        listen: { front: `${host}:${PORTS.front}`, ready: `${host}:${PORTS.ready}`, control: `${host}:${PORTS.control}` }
      })))
    }
    for (let index = 0; index < this.agentCount; index += 1) {
      const host = this.host(40 + index)
      const name = `side-${index + 1}`
      const zone = this.zones[index % this.zones.length]
      this.executors.push(new Executor({
        name,
        host,
        port: PORTS.app,
        control: { host, port: PORTS.control },
        service: SERVICE,
        zone,
        heartbeatInterval: this.heartbeatInterval,
        record: this.record,
        ...this.executorOptions
      }))
      this.agents.push(new Machine(this, 'agent', name, host, settingsLines(this, {
        role: 'agent',
        machineClass: 'side',
        name,
        host,
        zone,
        seeds,
        listen: { control: `${host}:${PORTS.control}` },
        app: `${host}:${PORTS.app}`
      })))
    }
    for (const machine of [...this.entries, ...this.agents]) machine.start()
    for (const executor of this.executors) await executor.start()
    for (const { host } of this.entries) await this.waitUntilReady(host)
  }

  isReady (host) {
    return call({ host, port: PORTS.ready, method: 'GET', path: '/readiness', timeout: 500 }).then(({ status }) => status === 200)
  }

  async waitUntilReady (host, milliseconds = 15_000) {
    const deadline = performance.now() + milliseconds
    while (performance.now() < deadline) {
      if (await this.isReady(host)) return
      await pause(50)
    }
    throw new Error(`${host} is not ready`)
  }

  /** Ends all processes and stand-ins. */
  async stop () {
    for (const machine of [...this.entries ?? [], ...this.agents ?? []]) {
      if (!machine.isRunning()) continue
      machine.child.kill('SIGKILL')
      await machine.ended()
    }
    for (const executor of this.executors ?? []) executor.close()
    for (const close of this.closers) close()
    if (process.env.KEEP_LOGS === undefined) rmSync(this.directory, { recursive: true, force: true })
    else console.log(`logs: ${this.directory}`)
  }
}

/** Sends a request. Resolves to its status, or to one of 0 with the reason if there is no answer. */
export function call ({ host, port, method, path, headers = {}, body, timeout, agent = false, onRequest }) {
  return new Promise(resolve => {
    const outgoing = request({ host, port, method, path, headers, agent }, incoming => {
      let text = ''
      incoming.setEncoding('utf8')
      incoming.on('data', chunk => { text += chunk })
      incoming.on('end', () => { finish({ status: incoming.statusCode, body: text, headers: incoming.headers }) })
      incoming.on('error', failure => { finish({ status: 0, reason: failure.message }) })
    })
    const timer = setTimeout(() => { outgoing.destroy(new Error('no answer in time')) }, timeout ?? 10_000)
    const finish = result => {
      clearTimeout(timer)
      resolve(result)
    }
    outgoing.on('error', failure => { finish({ status: 0, reason: failure.message }) })
    onRequest?.(outgoing)
    outgoing.end(body)
  })
}

export function randomId () {
  let id = ''
  while (id.length < 16) id += Math.floor(Math.random() * 16).toString(16)
  return id
}

/** Body of a job whose tasks each run for some time; the specification tells the stand-in executor how long. */
export function jobBody ({ tasks = 2, milliseconds = 80, estimate = milliseconds, cpu = 3_100, steps, more = {} }) {
  return JSON.stringify({
    specification: JSON.stringify({ milliseconds }),
    steps: steps ?? [{ count: tasks, cpu, requested_memory_mb: 64, estimated_ms: estimate, ...more }],
    best_effort: true
  })
}

/** Hands a job in at an entry, and records the answer. */
export async function submit (site, machine, { id = randomId(), deadline = 1_500, body, onRequest, prefix = PREFIX }) {
  site.record.write('job sent', { job: id, to: machine.name })
  const answer = await call({
    host: machine.host,
    port: PORTS.front,
    method: 'POST',
    path: `${prefix}${id}`,
    headers: { host: HOST, 'content-type': 'application/json', 'X-Deadline-Milliseconds': String(deadline) },
    body,
    timeout: deadline,
    onRequest
  })
  site.record.write('job answered', { job: id, by: machine.name, status: answer.status, body: answer.body ?? answer.reason })
  return { id, ...answer }
}

/** Runs a case: exits with 1 if it returns that the rule was broken, 0 if it held, and 2 if it could not run. */
export async function runCase (directory, options, play) {
  const record = new Record(directory)
  const hasTrouble = process.env.TROUBLE !== '0'
  const site = new Site(record, options)
  let code = 2
  const end = async signal => {
    await site.stop()
    process.exit(signal === undefined ? code : 2)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { end(signal) })
  try {
    await site.start()
    record.write('site ready', { trouble: hasTrouble })
    const { isBroken, text } = await play(site, hasTrouble)
    code = isBroken ? 1 : 0
    record.write('result', { isBroken, text })
    console.log(`${isBroken ? 'broken' : 'held'}: ${text}`)
  } catch (failure) {
    record.write('could not run', { reason: String(failure?.stack ?? failure) })
    console.log(`could not run: ${String(failure)}`)
  }
  await end()
}
