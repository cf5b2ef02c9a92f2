/**
 * A small deployment on loopback for the cases of the second review: the project's programs as separate processes,
 * started with the commands of the deploy file, and stand-ins for the platform's store, the executors and the clients,
 * as PROTOCOL.md describes them. Plain Node.js, without a dependency.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const FRONT_PORT = 8161
const EXECUTOR_PORT = 8165
const CONTROL_PORT = 8166
const READY_PORT = 8167
const GUARD_PORT = 8168
const STORE_PORT = 8169
const CALL_PORT = 7720
const METRICS_PORT = 9464
const HEARTBEAT_MILLISECONDS = 1_500
const HOLD_LIMIT_MILLISECONDS = 1_000
/** `drain_ms`, for which a draining executor says that it goes on at least. */
const DRAIN_MILLISECONDS = 2_000
/** A stop takes at most `stop_timeout_ms` of 50. */
const STOP_MILLISECONDS = 20
const HOST = 'desk.example'
const CONFIGURATION_KEY = 'config'

export const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

const startedAt = performance.now()
/** Time since the case began, in whole milliseconds. */
export const time = () => Math.round(performance.now() - startedAt)

/** Writes the record of a case, which is also shown on standard output. */
export function createRecord (path) {
  writeFileSync(path, '')
  return text => {
    const line = `${String(time()).padStart(6)} ms  ${text}`
    appendFileSync(path, `${line}\n`)
    console.log(line)
  }
}

/** Returns the arguments of the command that the deploy file has for a role. */
function readCommand (role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const command = new RegExp(`^\\[roles\\.${role}\\][^[]*?^run = "node ([^"]*)"`, 'm').exec(text)?.[1]
  if (command === undefined) throw new Error(`deploy/system.toml has no command for ${role}`)
  return command.split(' ')
}

function listen (server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => { resolve(server) })
  })
}

/** Claims loopback addresses 127.A.B.* that no other case uses. */
async function claimPrefix () {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const prefix = `127.${20 + Math.floor(200 * Math.random())}.${1 + Math.floor(250 * Math.random())}`
    const guard = createTcpServer()
    try {
      await listen(guard, `${prefix}.250`, GUARD_PORT)
      return { prefix, guard }
    } catch {}
  }
  throw new Error('no loopback addresses are free')
}

function readBody (incoming) {
  return new Promise((resolve, reject) => {
    const chunks = []
    incoming.on('data', chunk => { chunks.push(chunk) })
    incoming.on('end', () => { resolve(Buffer.concat(chunks).toString('utf8')) })
    incoming.on('error', reject)
  })
}

function answerJson (outgoing, status, body) {
  const text = JSON.stringify(body)
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}

/** Stand-in for the platform's store: the topic keyed.op, with the versions of the configuration. */
class Store {
  constructor () {
    this.records = []
    this.waiting = new Set()
    this.server = createServer((incoming, outgoing) => {
      incoming.resume()
      const url = new URL(incoming.url, 'http://store')
      if (url.pathname === '/log-newest') this.answerNewest(outgoing)
      else if (url.pathname === '/log-read') this.answerFrom(outgoing, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait_ms') ?? 0))
      else answerJson(outgoing, 404, {})
    })
  }

  /** The operator writes a version of the configuration; its return is the acknowledgement. */
  configure (version, routes) {
    const services = [...new Set(routes.map(({ service }) => service))].map(name => ({ name }))
    this.records.push(JSON.stringify({ version, routes, services, limits: { max_body_bytes: 262_144 } }))
    for (const wake of [...this.waiting]) wake()
  }

  answerNewest (outgoing) {
    const items = this.records.slice(-1).map(value =>
      ({ key: CONFIGURATION_KEY, value: Buffer.from(value).toString('base64'), offset: this.records.length - 1 }))
    answerJson(outgoing, 200, { items, more_pages: false, end: this.records.length })
  }

  answerFrom (outgoing, from, waitMilliseconds) {
    const answer = () => {
      clearTimeout(timer)
      this.waiting.delete(answer)
      if (outgoing.destroyed) return
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(this.records.length), 0)
      const frames = this.records.slice(from).flatMap(value => {
        const content = Buffer.concat([Buffer.from([CONFIGURATION_KEY.length]), Buffer.from(CONFIGURATION_KEY), Buffer.from(value)])
        const length = Buffer.alloc(4)
        length.writeUInt32BE(content.length)
        return [length, content]
      })
      outgoing.end(Buffer.concat([head, ...frames]))
    }
    const timer = setTimeout(answer, from < this.records.length ? 0 : waitMilliseconds)
    if (from >= this.records.length) this.waiting.add(answer)
  }
}

/**
 * Stand-in for an executor: one life of a machine. It starts what it is told to, as one that doesn't guard its capacity.
 * The specification is JSON with `ms`, how long a task works.
 */
class Executor {
  constructor (options) {
    Object.assign(this, { service: 'desk', labels: ['a'], cpu: 32_000, state: 'ready' }, options)
    this.born = Date.now()
    this.startedAt = performance.now()
    this.sequence = 0
    this.fence = 0
    this.leaseUntil = 0
    this.running = new Map()
    this.highest = new Map()
    this.ended = []
    this.lastEnd = 0
    this.waiting = new Set()
    this.sockets = new Set()
  }

  clock () { return Math.floor(performance.now() - this.startedAt) }

  async start () {
    this.server = createServer((incoming, outgoing) => { this.handle(incoming, outgoing).catch(() => { outgoing.destroy() }) })
    this.server.keepAliveTimeout = 60_000
    await listen(this.server, this.host, EXECUTOR_PORT)
    this.record(`executor ${this.id} (service ${this.service}, labels ${this.labels.join(' ')}) is up`)
    this.beat()
    this.timer = setInterval(() => { this.beat() }, HEARTBEAT_MILLISECONDS)
    return this
  }

  /** Ends this life: its connections break, what runs ends, and nothing listens any more. */
  async crash (why = 'crashes') {
    this.isDown = true
    clearInterval(this.timer)
    clearTimeout(this.leaseTimer)
    for (const run of this.running.values()) clearTimeout(run.timer)
    this.record(`executor ${this.id} ${why}; ${this.running.size} tasks were at work`)
    this.running.clear()
    const closed = new Promise(resolve => { this.server.close(resolve) })
    this.server.closeAllConnections()
    await closed
  }

  /** Deregisters and ends, after it has drained. */
  async leave () {
    const { status } = await send({ host: this.host, port: CONTROL_PORT, method: 'POST', path: `/Executors.Deregister/${this.id}` })
    this.record(`executor ${this.id} deregisters: ${status}`)
    await this.crash('has drained and ends')
  }

  /** Reports that it drains; resolves when that was acknowledged. */
  async drain () {
    this.state = 'draining'
    const status = await this.beat()
    this.record(`executor ${this.id} reports that it drains: ${status}`)
  }

  beat () {
    this.sequence += 1
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${EXECUTOR_PORT}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu: this.cpu, requested_memory_mb: 131_072, gpu: 0 },
      labels: this.labels,
      clock_ms: this.clock(),
      sequence: this.sequence,
      born: this.born,
      ...(this.state === 'draining' ? { drain_remaining_ms: DRAIN_MILLISECONDS } : {})
    })
    return send({ host: this.host, port: CONTROL_PORT, method: 'POST', path: `/Executors.Heartbeat/${this.id}`, body })
      .then(({ status }) => status, () => undefined)
  }

  renew (until) {
    if (until === undefined) return
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock() + HOLD_LIMIT_MILLISECONDS))
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => {
      for (const run of [...this.running.values()]) this.end(run, 'lapsed')
    }, Math.max(0, this.leaseUntil - this.clock()))
  }

  end (run, how) {
    if (this.isDown || this.running.get(run.task) !== run) return
    clearTimeout(run.timer)
    this.running.delete(run.task)
    this.lastEnd += 1
    this.ended.push([this.lastEnd, run.task, run.run, how, ''])
    this.events.push({ kind: 'end', at: time(), executor: this.id, task: run.task, run: run.run, how })
    this.record(`executor ${this.id}: run ${run.run} of ${run.task} has ended ${how}`)
    for (const wake of [...this.waiting]) wake()
  }

  startRun ({ task, run, specification, until_ms: until }) {
    const there = this.running.get(task)
    if (there?.run === run) return undefined
    if (run <= (this.highest.get(task) ?? 0)) {
      this.renew(until)
      return 'old'
    }
    if (until === undefined || until <= this.clock()) return 'late'
    this.renew(until)
    this.highest.set(task, run)
    const started = { task, run, startedAt: performance.now(), milliseconds: JSON.parse(specification).ms }
    this.running.set(task, started)
    started.timer = setTimeout(() => { this.end(started, 'done') }, started.milliseconds)
    this.events.push({ kind: 'start', at: time(), executor: this.id, labels: this.labels, task, run })
    this.record(`executor ${this.id} (labels ${this.labels.join(' ')}): starts run ${run} of ${task}`)
    return undefined
  }

  /** Leaves a start order without an answer and carries it out `delay` ms later; its time counts from its arrival. */
  startLater (body, delay) {
    this.record(`executor ${this.id}: leaves run ${body.run} of ${body.task} without an answer`)
    setTimeout(() => {
      if (this.isDown) return
      const token = body.fencing_token ?? 0
      const outcome = token < this.fence ? 'fence' : this.startRun({ ...body, until_ms: body.until_ms + delay })
      this.fence = Math.max(this.fence, token)
      this.record(`executor ${this.id}: carries the order for ${body.task} out ${delay} ms late: ${outcome ?? 'taken'}`)
    }, delay)
  }

  stopRun ({ task, run }) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0))
    const there = this.running.get(task)
    if (there?.run === run) setTimeout(() => { this.end(there, 'stopped') }, STOP_MILLISECONDS)
  }

  async handle (incoming, outgoing) {
    const body = JSON.parse(await readBody(incoming))
    const answer = (status, fields = {}) => answerJson(outgoing, status, { clock_ms: this.clock(), ...fields })
    const expected = incoming.headers['x-expected-instance']
    if (expected !== undefined && expected !== this.id) return answer(421)
    if ((body.fencing_token ?? 0) < this.fence) return answer(409, { reason: 'fence' })
    const delay = incoming.url === '/run-start' ? this.delayOf?.(body) : undefined
    if (delay !== undefined) return this.startLater(body, delay)
    this.fence = body.fencing_token ?? 0
    if (incoming.url === '/run-start') {
      const reason = this.startRun(body)
      return reason === undefined ? answer(200) : answer(409, { reason })
    }
    if (incoming.url === '/run-stop') {
      this.stopRun(body)
      return answer(200)
    }
    if (incoming.url !== '/hold') return answer(404)
    this.renew(body.until_ms)
    this.ended = this.ended.filter(([number]) => number > (body.ack_position ?? 0))
    if (this.ended.length === 0 && (body.wait_ms ?? 0) > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, body.wait_ms)
        this.waiting.add(wake)
      })
    }
    const running = [...this.running.values()].map(({ task, run, startedAt: at, milliseconds }) =>
      [task, run, '', Math.min(99, Math.floor(100 * (performance.now() - at) / milliseconds)), 0])
    answer(200, { born: this.born, running, ended: this.ended.slice(0, 500) })
  }
}

/**
 * Sends a request on a connection of its own. Rejects if the connection ends without a whole answer. With a `deadline`,
 * the client leaves after as many milliseconds.
 */
export function send ({ host, port = FRONT_PORT, method = 'GET', path, headers = {}, body, deadline }) {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method, path, headers, agent: false }, incoming => {
      readBody(incoming).then(text => {
        if (incoming.complete) resolve({ status: incoming.statusCode, body: text, headers: incoming.headers })
        else reject(new Error('the answer is not complete'))
      }, reject)
    })
    outgoing.on('error', reject)
    if (deadline !== undefined) {
      const timer = setTimeout(() => { outgoing.destroy(new Error('the client has left at its deadline')) }, deadline)
      outgoing.on('close', () => { clearTimeout(timer) })
    }
    outgoing.end(body)
  })
}

/**
 * Forwards connections from `host` to `targetHost`. What the target sends now is held for `held()` milliseconds, in its
 * order, as on a link that loses a packet and sends it again. `rewrite` changes bytes in both directions to as many others.
 */
async function startProxy (host, port, targetHost, { held = () => 0, rewrite = bytes => bytes }) {
  const server = createTcpServer(inner => {
    const outer = connect(port, targetHost)
    const forward = (from, to, delay) => {
      let dueAt = 0
      const later = act => {
        dueAt = Math.max(dueAt, performance.now() + delay())
        const milliseconds = dueAt - performance.now()
        if (milliseconds <= 0) act()
        else setTimeout(act, milliseconds)
      }
      from.on('data', chunk => { later(() => { if (!to.destroyed) to.write(rewrite(chunk)) }) })
      from.on('end', () => { later(() => { to.end() }) })
      from.on('error', () => { to.destroy() })
      from.on('close', () => { later(() => { to.destroy() }) })
    }
    inner.setNoDelay(true)
    outer.setNoDelay(true)
    forward(inner, outer, () => 0)
    forward(outer, inner, held)
  })
  return listen(server, host, port)
}

/**
 * Starts a deployment.
 *
 * @param options.entries - Number of entries.
 * @param options.executors - For each side machine, the fields of its first executor; undefined for none yet.
 * @param options.routes - Routes of the configuration.
 * @param options.sideZone - Zone of the side machines; the entries are in dakar-a.
 * @param options.held - How long what side machines send to entries is held on its link now, by the number of the side
 *   machine; the calls between entries and agents then go through proxies. Without it they go directly.
 */
export async function startSite ({ record, entries = 1, executors = [{}], routes = [{}], held, sideZone = 'dakar-a' }) {
  const { prefix, guard } = await claimPrefix()
  const directory = mkdtempSync(join(tmpdir(), 'baobabpost-review-'))
  const events = []
  const children = new Map()
  const lives = []
  const servers = []
  const entryHosts = Array.from({ length: entries }, (_, index) => `${prefix}.${101 + index}`)
  const sideHosts = executors.map((_, index) => `${prefix}.${120 + index}`)
  const store = new Store()
  let version = 0
  /** Writes the next version of the configuration; each route needs only what differs from the usual one. */
  const configure = changed => {
    version += 3
    store.configure(version, changed.map(route => ({
      name: 'loans',
      host: HOST,
      path_prefix: '/loans/',
      service: 'desk',
      priority: 0,
      max_attempts: 2,
      stretch: 1.6,
      target_latency_ms: 60,
      timeout_ms: 30_000,
      ...route
    })))
    return version
  }
  configure(routes)
  servers.push(await listen(store.server, `${prefix}.1`, STORE_PORT))
  /** Addresses that processes tell each other: those of the proxies, if there are any. */
  let seedHosts = entryHosts
  if (held !== undefined) {
    // 127.A.B.1NN stands for the process itself, 127.A.B.2NN for the proxy before it.
    const proxyOf = host => host.replace(/\.1(\d\d)$/, '.2$1')
    const hosts = [...entryHosts, ...sideHosts]
    const rewrite = bytes => {
      let text = bytes.toString('latin1')
      for (const host of hosts) text = text.replaceAll(`"${host}:${CALL_PORT}"`, `"${proxyOf(host)}:${CALL_PORT}"`)
      return Buffer.from(text, 'latin1')
    }
    for (const host of entryHosts) servers.push(await startProxy(proxyOf(host), CALL_PORT, host, { rewrite }))
    for (const [index, host] of sideHosts.entries()) {
      servers.push(await startProxy(proxyOf(host), CALL_PORT, host, { held: () => held(index) }))
    }
    seedHosts = entryHosts.map(proxyOf)
  }

  function startProgram (role, node, host, lines) {
    const settings = join(directory, `${node}.conf`)
    writeFileSync(settings, [
      `node=${node}`, `role=${role}`, `machine_class=${role === 'entry' ? 'front' : 'side'}`,
      `serves=${role === 'entry' ? 'front,control' : 'side'}`, `ip_address=${host}`, `zone=${role === 'entry' ? 'dakar-a' : sideZone}`, 'region=dakar',
      'zones.dakar-a=dakar',
      'zones.dakar-b=dakar', `listen_addresses.control=${host}:${CONTROL_PORT}`, `internal_ports=${CALL_PORT},${CALL_PORT + 15}`,
      `seeds=${seedHosts.slice(0, 3).map(seed => `${seed}:${CONTROL_PORT}`).join(',')}`, 'bootstrap=true',
      'limits.memory_mb=350', 'limits.link_mbps=1000.0', `heartbeat_interval_ms=${HEARTBEAT_MILLISECONDS}`,
      'contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing', 'bounds.grace_period_s=6',
      'bounds.loss_slack_ms=200', 'bounds.cancel_ms=3000', 'bounds.stop_timeout_ms=50', 'bounds.far_multiplier=1.5',
      'bounds.resend_ms=1300', 'orders=call', `platform.address=${prefix}.1:${STORE_PORT}`, 'platform.form=log', ...lines, ''
    ].join('\n'))
    const log = openSync(join(directory, `${node}.log`), 'a')
    const child = spawn(process.execPath, readCommand(role), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, BAOBABPOST_SETTINGS: settings, BAOBABPOST_METRICS_PORT: String(METRICS_PORT) },
      stdio: ['ignore', log, log]
    })
    closeSync(log)
    children.set(node, child)
    child.exited = new Promise(resolve => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
    return child
  }

  function createExecutor (index, fields = {}) {
    const executor = new Executor({
      id: `i-${index + 1}-${lives.length + 1}`, host: sideHosts[index], zone: sideZone, record, events, ...fields
    })
    lives.push(executor)
    return executor
  }

  async function close () {
    for (const child of children.values()) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all([...children.values()].map(child => child.exited))
    for (const life of lives) if (!life.isDown && life.server !== undefined) await life.crash('is switched off after the case')
    for (const server of servers) {
      server.close()
      server.closeAllConnections?.()
    }
    guard.close()
    if (process.env.KEEP !== undefined) console.log(`logs: ${directory}`)
    else rmSync(directory, { recursive: true, force: true })
  }

  const site = {
    events,
    children,
    entryHosts,
    sideHosts,
    close,
    createExecutor,
    lives,
    configure,
    startEntry: index => startProgram('entry', `front-${index + 1}`, entryHosts[index], [
      `listen_addresses.front=${entryHosts[index]}:${FRONT_PORT}`, `listen_addresses.ready=${entryHosts[index]}:${READY_PORT}`
    ]),
    startAgent: (index, lines = []) => startProgram('agent', `side-${index + 1}`, sideHosts[index], [
      `app=${sideHosts[index]}:${EXECUTOR_PORT}`, ...lines
    ]),
    isReady: index => send({ host: entryHosts[index], port: READY_PORT, path: '/readiness' }).then(({ status }) => status === 200, () => false),
    /** Hands a job in, with a client's deadline, and returns how that ended. */
    submit: (index, id, { steps, ms, deadline, path = '/loans/' }) => {
      const body = JSON.stringify({ specification: JSON.stringify({ ms }), steps, best_effort: true })
      const sentAt = time()
      record(`client: POST of job ${id} to front-${index + 1}, deadline ${deadline} ms`)
      return send({
        host: entryHosts[index],
        method: 'POST',
        path: `${path}${id}`,
        body,
        deadline,
        headers: { host: HOST, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'X-Deadline-Milliseconds': String(deadline) }
      }).then(
        ({ status, body: text }) => ({ id, sentAt, endedAt: time(), status, text }),
        failure => ({ id, sentAt, endedAt: time(), status: undefined, text: failure.message })
      ).then(result => {
        record(`client: job ${id} ${result.status === undefined ? `got no answer: ${result.text}` : `was answered ${result.status} ${result.text}`}`)
        return result
      })
    },
    cancel: (index, id) => send({ host: entryHosts[index], method: 'DELETE', path: `/loans/${id}`, headers: { host: HOST } }).then(({ status }) => {
      record(`client: DELETE of job ${id} at front-${index + 1} was answered ${status}`)
      return { status, at: time() }
    })
  }
  try {
    for (const index of entryHosts.keys()) site.startEntry(index)
    for (const index of sideHosts.keys()) site.startAgent(index)
    for (const [index, fields] of executors.entries()) if (fields !== undefined) await createExecutor(index, fields).start()
    const limit = performance.now() + 15_000
    for (const index of entryHosts.keys()) {
      while (!await site.isReady(index)) {
        if (performance.now() > limit) throw new Error(`front-${index + 1} did not become ready`)
        await pause(50)
      }
    }
    // All executors have been heard of by all entries.
    await pause(2 * HEARTBEAT_MILLISECONDS)
    record('all entries are ready')
  } catch (failure) {
    await close()
    throw failure
  }
  return site
}

/** Runs a case: `body` returns whether the rule was broken. Ends this process with 1, 0, or 2 if it could not run. */
export async function runCase (directory, body) {
  const record = createRecord(join(directory, 'record.txt'))
  const isTroubled = process.env.TROUBLE !== '0'
  record(isTroubled ? 'with the disruption' : 'without the disruption')
  let code = 2
  try {
    const isBroken = await body({ record, isTroubled })
    code = isBroken ? 1 : 0
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held')
  } catch (failure) {
    record(`result: the case could not run: ${failure.message}`)
  }
  process.exit(code)
}
