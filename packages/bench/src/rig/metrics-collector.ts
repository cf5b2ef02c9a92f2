/** Receives StatsD counters from the processes over UDP and sums them by role and name. */
import { createSocket } from 'node:dgram'

const COUNTER_PATTERN = /^baobabpost\.([a-z.-]+):(-?[\d.]+)\|c(?:\|@[\d.]+)?(?:\|#(.*))?$/

export interface MetricsCollector {
  readonly address: string
  /** Returns the sum of a counter over all processes of a role since the start of the collector. */
  sum: (role: string, metric: string) => number
  close: () => void
}

/** Starts a collector on a free loopback port. */
export async function startMetricsCollector (): Promise<MetricsCollector> {
  const sums = new Map<string, number>()
  const socket = createSocket({ type: 'udp4', recvBufferSize: 4_194_304 })
  socket.on('message', datagram => {
    for (const line of datagram.toString().split('\n')) {
      const match = COUNTER_PATTERN.exec(line)
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
