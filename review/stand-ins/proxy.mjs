/**
 * Proxy for the calls between the project's processes: one in front of each, at an address of its own. In the data that
 * it forwards it replaces the addresses of the processes by those of their proxies, which have the same length.
 */
import { connect, createServer } from 'node:net'

export async function startProxy ({ host, port, target, from, to }) {
  const sockets = new Set()
  const server = createServer({ allowHalfOpen: true }, incoming => {
    const outgoing = connect({ host: target, port, allowHalfOpen: true })
    for (const [one, other] of [[incoming, outgoing], [outgoing, incoming]]) {
      sockets.add(one)
      one.setNoDelay(true)
      one.on('data', data => { other.write(Buffer.from(data.toString('latin1').replaceAll(from, to), 'latin1')) })
      one.on('end', () => { other.end() })
      one.on('error', () => { other.resetAndDestroy() })
      one.on('close', () => {
        sockets.delete(one)
        if (!one.readableEnded) other.destroy()
      })
    }
  })
  const listen = () => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  await listen()
  return {
    /** Cuts the machine off: open connections are reset, and new ones are refused. */
    cut: () => {
      server.close()
      for (const socket of [...sockets]) socket.resetAndDestroy()
    },
    heal: listen,
    close: () => {
      server.close()
      for (const socket of [...sockets]) socket.destroy()
    }
  }
}
