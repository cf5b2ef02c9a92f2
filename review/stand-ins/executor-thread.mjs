/** Runs the stand-in of an executor in a thread of its own, so that none waits for the work of the others. */
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { fileURLToPath } from 'node:url'
import { createExecutor } from './executor.mjs'

/** Interval in which a thread tells what it has recorded. */
const TELL_MILLISECONDS = 20

if (!isMainThread) {
  let lines = []
  const executor = createExecutor({ ...workerData, record: text => { lines.push(text) } })
  const tell = () => {
    parentPort.postMessage({ kind: 'state', lines, started: executor.history.length, running: executor.runningTasks().length })
    lines = []
  }
  parentPort.on('message', ({ crash }) => {
    executor.crash(crash)
    tell()
  })
  await executor.listen()
  parentPort.postMessage({ kind: 'listening' })
  setInterval(tell, TELL_MILLISECONDS)
}

/** Creates an executor in a thread. It counts its runs, and has no list of them. */
export function createExecutorThread ({ record, ...options }) {
  let worker
  const counts = { started: 0, running: 0 }
  return {
    machine: options.machine,
    listen: () => new Promise((resolve, reject) => {
      worker = new Worker(fileURLToPath(import.meta.url), { workerData: options })
      worker.once('error', reject)
      worker.on('message', message => {
        if (message.kind === 'listening') return resolve()
        for (const line of message.lines) record(line)
        Object.assign(counts, { started: message.started, running: message.running })
      })
    }),
    startCount: () => counts.started,
    runningCount: () => counts.running,
    crash: downMilliseconds => { worker.postMessage({ crash: downMilliseconds }) },
    close: () => { worker.terminate() }
  }
}
