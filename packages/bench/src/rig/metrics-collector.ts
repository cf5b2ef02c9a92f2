/** Receives the counters that the processes send, and sums them up by role and name. */
import { createSocket } from 'node:dgram'

const COUNTER = /^baobabpost\.([a-z.-]+):(-?[\d.]+)\|c(?:\|@[\d.]+)?(?:\|#(.*))?$/

/** Sums of counters. */
export interface MetricsCollector {
  readonly address: string
  /** Sum of a counter over all processes of a role since the start. */
  sum: (role: string, metric: string) => number
  close: () => void
}

/** Starts a collector on a free port of the loopback. */
export async function startMetricsCollector (): Promise<MetricsCollector> {
  const sums = new Map<string, number>()
  const socket = createSocket({ type: 'udp4', recvBufferSize: 4_194_304 })
  socket.on('message', datagram => {
    for (const line of datagram.toString().split('\n')) {
      const match = COUNTER.exec(line)
      if (match === null) continue
      const role = /role:([a-z-]+)/.exec(match[3] ?? '')?.[1] ?? 'none'
      const name = `${role} ${match[1]}`
      sums.set(name, (sums.get(name) ?? 0) + Number(match[2]))
    }
  })
  await new Promise<void>(resolve => { socket.bind(0, '127.0.0.1', resolve) })
  const { port } = socket.address()
  return {
    address: `127.0.0.1:${port}`,
    sum: (role, metric) => sums.get(`${role} ${metric}`) ?? 0,
    close: () => { socket.close() }
  }
}
