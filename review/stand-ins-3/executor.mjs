/**
 * Stand-in for an executor on a `side` machine, as PROTOCOL.md has it: it does what it is told within its fencing token
 * and its lease, sends heartbeats to the `control` address of its machine, and records each start and end.
 */
import { createServer, request } from 'node:http'

const LONGEST_LEASE_MILLISECONDS = 1_000
const STOP_MILLISECONDS = 30
const LONGEST_WAIT_MILLISECONDS = 2_000
const MAXIMUM_ENDS = 500
const HEARTBEAT_TIMEOUT_MILLISECONDS = 1_000

export class Executor {
  constructor (options) {
    Object.assign(this, {
      capacity: { cpu: 32_000, requested_memory_mb: 131_072, gpu: 0 }, labels: ['a', 'r1-1'], lives: 0, isUp: false
    }, options)
    /** Runs that are at work at any executor life, for the checks of the cases. */
    this.history = []
  }

  async start ({ id, labels } = {}) {
    this.lives += 1
    this.id = id ?? `i-${this.name}-${this.lives}`
    if (labels !== undefined) this.labels = labels
    this.born = Date.now()
    this.clockStart = performance.now()
    Object.assign(this, {
      fence: 0,
      leaseUntil: 0,
      running: new Map(),
      highest: new Map(),
      ends: [],
      lastEnd: 0,
      sequence: 0,
      state: 'ready',
      listeners: new Set(),
      isUp: true,
      isSilent: false
    })
    if (this.server?.listening !== true) await this.listen()
    this.announce()
  }

  async listen () {
    this.sockets = new Set()
    this.server = createServer((incoming, outgoing) => { this.handle(incoming, outgoing) })
    this.server.on('connection', socket => {
      socket.isOpenedInCut = this.isCut === true
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.host, resolve)
    })
  }

  announce () {
    const { name, id, born, labels } = this
    this.record.write('executor started', { executor: name, id, born, labels })
    clearInterval(this.beats)
    this.beat()
    this.beats = setInterval(() => { this.beat() }, this.heartbeatInterval)
  }

  clock () { return Math.floor(performance.now() - this.clockStart) }

  /**
   * Cuts the executor off: nothing that is sent reaches it, and connections that are opened meanwhile hang. Resolves
   * when the cut has healed. With `reborn`, it crashes behind the cut and starts again, with the properties given.
   */
  async cutOff (milliseconds, reborn) {
    this.record.write('executor cut off', { executor: this.name, id: this.id, milliseconds })
    this.isCut = true
    const old = [...this.sockets]
    await new Promise(resolve => { setTimeout(resolve, milliseconds / 2) })
    if (reborn !== undefined) {
      clearInterval(this.beats)
      clearTimeout(this.leaseTimer)
      for (const run of [...this.running.values()]) this.end(run, 'gone')
      await this.start({ id: this.id, ...reborn })
    }
    await new Promise(resolve => { setTimeout(resolve, milliseconds / 2) })
    this.isCut = false
    // A machine that has started again resets the connections that it doesn't know, once something is sent on them.
    if (reborn !== undefined) for (const socket of old) socket.isUnknown = true
    this.record.write('cut healed', { executor: this.name, id: this.id, labels: this.labels })
  }

  /**
   * Cuts the executor off so that open connections are reset and new ones refused. What runs there goes on, within its
   * lease. Resolves when the cut has healed.
   */
  async cutOffWithResets (milliseconds) {
    this.record.write('executor cut off', { executor: this.name, id: this.id, milliseconds, running: [...this.running.keys()] })
    this.isCut = true
    for (const listener of [...this.listeners]) listener()
    this.server.close()
    for (const socket of [...this.sockets]) socket.resetAndDestroy()
    await new Promise(resolve => { setTimeout(resolve, milliseconds) })
    this.isCut = false
    await this.listen()
    this.record.write('cut healed', { executor: this.name, id: this.id })
  }

  /** Ends this life: all that runs ends with it, and nothing listens any more. */
  crash () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.beats)
    clearTimeout(this.leaseTimer)
    this.record.write('executor down', { executor: this.name, id: this.id, running: [...this.running.keys()] })
    for (const run of [...this.running.values()]) this.end(run, 'gone')
    for (const listener of [...this.listeners]) listener()
    this.server.close()
    this.server.closeAllConnections()
  }

  close () { this.crash() }

  report () {
    this.sequence += 1
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clock(),
      sequence: this.sequence,
      born: this.born
    }
  }

  beat () {
    if (!this.isUp || this.isSilent || this.isCut === true) return
    const { id, state } = this
    const body = JSON.stringify(this.report())
    const outgoing = request({
      host: this.control.host,
      port: this.control.port,
      method: 'POST',
      path: `/Executors.Heartbeat/${id}`,
      agent: false,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      timeout: HEARTBEAT_TIMEOUT_MILLISECONDS
    }, incoming => {
      incoming.resume()
      if (incoming.statusCode === 200 && state === 'draining') this.onDrainAcknowledged?.()
    })
    outgoing.on('timeout', () => { outgoing.destroy() })
    outgoing.on('error', () => {
      // Nobody listens at the agent's address yet.
      if (this.isUp && this.id === id) setTimeout(() => { if (this.id === id) this.beat() }, 100)
    })
    outgoing.end(body)
  }

  handle (incoming, outgoing) {
    if (incoming.socket.isUnknown === true) return incoming.socket.resetAndDestroy()
    if (this.isCut === true || incoming.socket.isOpenedInCut) return incoming.resume()
    let text = ''
    incoming.setEncoding('utf8')
    incoming.on('data', chunk => { text += chunk })
    incoming.on('end', () => {
      const body = JSON.parse(text)
      const deliver = () => {
        const expected = incoming.headers['x-expected-instance']
        if (expected !== undefined && expected !== this.id) return this.send(outgoing, 421, {})
        if (incoming.url === '/run-start') return this.handleStart(body, outgoing)
        if (incoming.url === '/run-stop') return this.handleStop(body, outgoing)
        if (incoming.url === '/hold') return this.handleHold(body, outgoing)
        outgoing.writeHead(404).end()
      }
      if (this.intercept?.(incoming.url, body, deliver, outgoing) === true) return
      deliver()
    })
    incoming.on('error', () => {})
  }

  /** Sends an answer; none leaves an executor that is down or cut off. */
  send (outgoing, status, fields) {
    if (outgoing.destroyed || !this.isUp || this.isCut === true) return
    const text = JSON.stringify({ clock_ms: this.clock(), ...fields })
    outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  /** Whether the token is one that the executor obeys; it keeps the highest. */
  obeys (token = 0) {
    if (token < this.fence) return false
    this.fence = token
    return true
  }

  renew (until) {
    if (until === undefined) return
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock() + LONGEST_LEASE_MILLISECONDS))
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => {
      for (const run of [...this.running.values()]) this.end(run, 'lapsed')
    }, Math.max(0, this.leaseUntil - this.clock()))
  }

  handleStart ({ task, run, specification, until_ms: until, fencing_token: token }, outgoing) {
    if (!this.obeys(token)) return this.send(outgoing, 409, { reason: 'fence' })
    const known = this.running.get(task)
    if (known?.run === run) return this.send(outgoing, 200, {})
    if (run <= (this.highest.get(task) ?? 0) || known !== undefined) {
      this.renew(until)
      return this.send(outgoing, 409, { reason: 'old' })
    }
    if (until === undefined || until <= this.clock()) return this.send(outgoing, 409, { reason: 'late' })
    this.renew(until)
    this.highest.set(task, run)
    const { milliseconds } = JSON.parse(specification)
    const begun = { task, run, startedAt: this.clock(), milliseconds, timer: undefined, historyRow: undefined }
    begun.historyRow = {
      executor: this.name, id: this.id, task, run, labels: this.labels, from: this.record.now(), to: undefined, how: undefined, specification
    }
    this.history.push(begun.historyRow)
    begun.timer = setTimeout(() => { this.end(begun, 'done') }, milliseconds)
    this.running.set(task, begun)
    this.record.write('run started', { executor: this.name, task, run, labels: this.labels, specification })
    this.send(outgoing, 200, {})
  }

  end (run, how) {
    if (this.running.get(run.task) !== run) return
    clearTimeout(run.timer)
    this.running.delete(run.task)
    run.historyRow.to = this.record.now()
    run.historyRow.how = how
    this.record.write('run ended', { executor: this.name, task: run.task, run: run.run, how })
    this.lastEnd += 1
    this.ends.push([this.lastEnd, run.task, run.run, how, ''])
    for (const listener of [...this.listeners]) listener()
  }

  handleStop ({ task, run, fencing_token: token }, outgoing) {
    if (!this.obeys(token)) return this.send(outgoing, 409, { reason: 'fence' })
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0))
    const known = this.running.get(task)
    if (known !== undefined && known.run <= run) setTimeout(() => { this.end(known, 'stopped') }, STOP_MILLISECONDS)
    this.send(outgoing, 200, {})
  }

  handleHold ({ until_ms: until, fencing_token: token, ack_position: position = 0, wait_ms: wait = 0 }, outgoing) {
    if (!this.obeys(token)) return this.send(outgoing, 409, { reason: 'fence' })
    this.renew(until)
    this.ends = this.ends.filter(([number]) => number > position)
    const answer = () => {
      clearTimeout(timer)
      this.listeners.delete(answer)
      this.send(outgoing, 200, {
        born: this.born,
        running: [...this.running.values()].map(({ task, run, startedAt, milliseconds }) =>
          [task, run, '', Math.min(99, Math.floor(100 * (this.clock() - startedAt) / milliseconds)), 0]),
        ended: this.ends.slice(0, MAXIMUM_ENDS)
      })
    }
    const timer = setTimeout(answer, Math.min(LONGEST_WAIT_MILLISECONDS, wait))
    if (this.ends.length > 0 || wait <= 0) return answer()
    this.listeners.add(answer)
  }
}
