/** Stand-in for the platform's store: the topic `keyed.op`, with reads that wait. */
import { createServer } from 'node:http'

function frames (records, end) {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(end))
  const parts = [head]
  for (const { key, value } of records) {
    const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)])
    const length = Buffer.alloc(4)
    length.writeUInt32BE(content.length)
    parts.push(length, content)
  }
  return Buffer.concat(parts)
}

export function createStore () {
  const records = []
  const waiting = new Set()
  const server = createServer((incoming, outgoing) => {
    incoming.resume()
    const url = new URL(incoming.url, 'http://store')
    if (url.pathname === '/log-newest') {
      const newest = new Map()
      for (const [offset, { key, value }] of records.entries()) {
        if (value === '') newest.delete(key)
        else newest.set(key, { key, value: Buffer.from(value).toString('base64'), offset })
      }
      outgoing.end(JSON.stringify({ items: [...newest.values()], more_pages: false, end: records.length }))
      return
    }
    if (url.pathname !== '/log-read') {
      outgoing.writeHead(404).end()
      return
    }
    const from = Number(url.searchParams.get('from'))
    const answer = () => {
      clearTimeout(timer)
      waiting.delete(answer)
      if (!outgoing.destroyed) outgoing.end(frames(records.slice(from), records.length))
    }
    const timer = setTimeout(answer, Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0)))
    if (from < records.length) answer()
    else waiting.add(answer)
  })
  return {
    listen: (host, port) => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    }),
    write: (key, value) => {
      records.push({ key, value })
      for (const answer of [...waiting]) answer()
    },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
