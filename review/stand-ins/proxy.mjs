/**
 * Proxy for the calls between the project's processes: one in front of each, at an address of its own. In the data that
 * it forwards it replaces the addresses of the processes by those of their proxies, which have the same length.
 */
import { connect, createServer } from 'node:net'

export async function startProxy ({ host, port, target, from, to }) {
  const sockets = new Set()
  let isDark = false
  const server = createServer({ allowHalfOpen: true }, incoming => {
    sockets.add(incoming)
    incoming.on('error', () => {})
    if (isDark) return
    const outgoing = connect({ host: target, port, allowHalfOpen: true })
    for (const [one, other] of [[incoming, outgoing], [outgoing, incoming]]) {
      sockets.add(one)
      one.setNoDelay(true)
      one.on('data', data => { if (!isDark) other.write(Buffer.from(data.toString('latin1').replaceAll(from, to), 'latin1')) })
      one.on('end', () => { if (!isDark) other.end() })
      one.on('error', () => { if (!isDark) other.resetAndDestroy() })
      one.on('close', () => {
        sockets.delete(one)
        if (!isDark && !one.readableEnded) other.destroy()
      })
    }
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    /** The machine has no power: nothing answers, and open connections hang. */
    darken: () => { isDark = true },
    /** The machine has power again and knows nothing of its connections. */
    lighten: () => {
      isDark = false
      for (const socket of [...sockets]) socket.resetAndDestroy()
    },
    close: () => {
      server.close()
      for (const socket of [...sockets]) socket.destroy()
    }
  }
}
