/**
 * Stand-in for an executor, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). A job's specification is
 * JSON: `ms` is the run time of its tasks, or a list with the run time of each step's tasks.
 */
import { createServer, request } from 'node:http'

const HEARTBEAT_MILLISECONDS = 1_500
const HOLD_LIMIT_MILLISECONDS = 1_000
/** Time that a stop takes; the pages allow 50. */
const STOP_MILLISECONDS = 30
const MAXIMUM_LISTED_ENDS = 500

/**
 * Creates an executor that is up and does not listen yet.
 *
 * `delayOrder(path, body)` may return a number of milliseconds: the order then gets no answer and is carried out that
 * much later (`applied_late`).
 */
export function createExecutor (options) {
  const { record, machine } = options
  /** All runs, over all lives, with the real times of their start and end. */
  const history = []
  const sockets = new Set()
  const executor = { machine, labels: options.labels, history, delayOrder: undefined, starts: [] }
  let life
  let heartbeats
  let server
  let restart

  function begin () {
    life = {
      startedAt: performance.now(),
      born: Date.now(),
      fence: 0,
      running: new Map(),
      highest: new Map(),
      ended: [],
      lastEnd: 0,
      leaseUntil: 0,
      leaseTimer: undefined,
      waiting: new Set(),
      sequence: 0,
      state: 'ready',
      isOver: false
    }
  }

  const clock = () => Math.floor(performance.now() - life.startedAt)

  function end (own, run, how) {
    if (own.running.get(run.task) !== run) return
    clearTimeout(run.timer)
    own.running.delete(run.task)
    run.endedAt = performance.now()
    run.how = how
    if (own.isOver) return
    own.lastEnd += 1
    own.ended.push([own.lastEnd, run.task, run.run, how, ''])
    record(`${machine}: ${run.task} run ${run.run} ended: ${how}`)
    for (const answer of [...own.waiting]) answer()
  }

  function renew (until) {
    if (typeof until !== 'number') return
    const own = life
    own.leaseUntil = Math.max(own.leaseUntil, Math.min(until, clock() + HOLD_LIMIT_MILLISECONDS))
    clearTimeout(own.leaseTimer)
    own.leaseTimer = setTimeout(() => {
      for (const run of [...own.running.values()]) end(own, run, 'lapsed')
    }, own.leaseUntil - clock())
  }

  function refuse (reason) {
    return { status: 409, body: { clock_ms: clock(), reason } }
  }

  function start (order) {
    const { task, run, specification } = order
    const running = life.running.get(task)
    if (running?.run === run) return { status: 200, body: { clock_ms: clock() } }
    if (run <= (life.highest.get(task) ?? 0) || running !== undefined) {
      renew(order.until_ms)
      return refuse('old')
    }
    if (typeof order.until_ms !== 'number' || order.until_ms <= clock()) return refuse('late')
    renew(order.until_ms)
    life.highest.set(task, run)
    const step = Number(task.split('.')[2])
    const { ms } = JSON.parse(specification)
    const milliseconds = Array.isArray(ms) ? ms[step] : ms
    const own = life
    const started = { machine, task, run, startedAt: performance.now(), endedAt: undefined, milliseconds, how: undefined }
    started.timer = setTimeout(() => { end(own, started, 'done') }, milliseconds)
    own.running.set(task, started)
    history.push(started)
    record(`${machine}: ${task} run ${run} started`)
    return { status: 200, body: { clock_ms: clock() } }
  }

  function stop ({ task, run }) {
    life.highest.set(task, Math.max(run, life.highest.get(task) ?? 0))
    const running = life.running.get(task)
    const own = life
    if (running !== undefined && running.run === run) setTimeout(() => { end(own, running, 'stopped') }, STOP_MILLISECONDS)
    return { status: 200, body: { clock_ms: clock() } }
  }

  function list () {
    const running = [...life.running.values()].map(({ task, run, startedAt, milliseconds }) =>
      [task, run, '', Math.min(99, Math.floor(100 * (performance.now() - startedAt) / milliseconds)), 0])
    return { status: 200, body: { clock_ms: clock(), born: life.born, running, ended: life.ended.slice(0, MAXIMUM_LISTED_ENDS) } }
  }

  function hold ({ ack_position: acknowledged = 0, until_ms: until, wait_ms: wait = 0 }, answer) {
    renew(until)
    life.ended = life.ended.filter(([number]) => number > acknowledged)
    if (life.ended.length > 0 || wait <= 0) return answer(list())
    const own = life
    const finish = () => {
      clearTimeout(timer)
      own.waiting.delete(finish)
      if (own === life) answer(list())
    }
    const timer = setTimeout(finish, Math.min(2_000, wait))
    own.waiting.add(finish)
  }

  function carryOut (path, order, answer) {
    const fence = order.fencing_token ?? 0
    if (fence < life.fence) return answer(refuse('fence'))
    life.fence = fence
    if (path === '/run-start') return answer(start(order))
    if (path === '/run-stop') return answer(stop(order))
    if (path === '/hold') return hold(order, answer)
    answer({ status: 404, body: {} })
  }

  function handle (incoming, outgoing) {
    const chunks = []
    incoming.on('data', chunk => { chunks.push(chunk) })
    incoming.on('end', () => {
      const expected = incoming.headers['x-expected-instance']
      const answer = ({ status, body }) => {
        if (outgoing.destroyed) return
        const text = JSON.stringify(body)
        outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
      }
      if (expected !== undefined && expected !== options.id) return answer({ status: 421, body: { clock_ms: clock() } })
      const order = JSON.parse(Buffer.concat(chunks).toString())
      if (incoming.url === '/run-start') executor.starts.push({ at: performance.now(), ...order })
      const delay = executor.delayOrder?.(incoming.url, order)
      if (delay === undefined) return carryOut(incoming.url, order, answer)
      record(`${machine}: ${incoming.url} ${order.task} run ${order.run} gets no answer and is carried out ${delay} ms later`)
      setTimeout(() => {
        carryOut(incoming.url, order, ({ status, body }) => {
          record(`${machine}: late ${incoming.url} ${order.task} run ${order.run} carried out: ${status} ${body.reason ?? ''}`)
        })
      }, delay)
    })
  }

  function beat () {
    const [host, port] = options.control.split(':')
    life.sequence += 1
    const body = JSON.stringify({
      service: options.service,
      address: `${options.address}:${options.port}`,
      zone: options.zone,
      version: 'v1',
      slots: 8,
      state: life.state,
      cold_remaining_ms: 0,
      capacity: options.capacity,
      labels: options.labels,
      clock_ms: clock(),
      born: life.born,
      sequence: life.sequence
    })
    const outgoing = request({
      host, port, method: 'POST', path: `/Executors.Heartbeat/${options.id}`, agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    }, incoming => { incoming.resume() })
    outgoing.setTimeout(1_000, () => { outgoing.destroy() })
    outgoing.on('error', () => {})
    outgoing.end(body)
  }

  function startHeartbeats () {
    clearInterval(heartbeats)
    heartbeats = setInterval(beat, HEARTBEAT_MILLISECONDS)
    setTimeout(beat, 50)
  }

  function open () {
    server = createServer({ keepAliveTimeout: 60_000 }, handle)
    server.on('connection', socket => {
      sockets.add(socket)
      socket.on('close', () => { sockets.delete(socket) })
    })
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(options.port, options.address, () => {
        startHeartbeats()
        resolve()
      })
    })
  }

  executor.listen = () => {
    begin()
    return open()
  }
  executor.runningTasks = () => [...life.running.values()]
  executor.id = options.id
  /** Ends this life and everything that runs. After some time another life begins under the same id. */
  executor.crash = downMilliseconds => {
    life.isOver = true
    for (const run of [...life.running.values()]) end(life, run, 'crashed')
    clearTimeout(life.leaseTimer)
    clearInterval(heartbeats)
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
    record(`${machine}: the executor has crashed`)
    restart = setTimeout(() => {
      record(`${machine}: the executor is up again`)
      executor.listen().catch(() => {})
    }, downMilliseconds)
  }
  executor.close = () => {
    clearTimeout(restart)
    clearInterval(heartbeats)
    life.isOver = true
    clearTimeout(life.leaseTimer)
    for (const run of life.running.values()) clearTimeout(run.timer)
    server.close()
    server.closeAllConnections()
  }
  return executor
}
