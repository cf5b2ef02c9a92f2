/** Stand-in for the platform's store: the log `keyed.op` with the operator's records, as PROTOCOL.md has it. */
import { createServer } from 'node:http'

const HEAD_BYTES = 16
const LONGEST_WAIT_MILLISECONDS = 30_000

export class Store {
  constructor () {
    this.records = []
    this.waiting = new Set()
    this.server = createServer((incoming, outgoing) => { this.handle(incoming, outgoing) })
  }

  listen (host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Appends an operator's record; without a value, it drops the key. */
  write (key, value = '') {
    this.records.push({ key, value })
    for (const answer of [...this.waiting]) answer()
  }

  handle (incoming, outgoing) {
    incoming.resume()
    const { pathname, searchParams } = new URL(incoming.url, 'http://store')
    if (incoming.method === 'GET' && pathname === '/log-newest') return this.sendNewest(outgoing, searchParams)
    if (incoming.method === 'GET' && pathname === '/log-read') return this.sendFrom(outgoing, searchParams)
    outgoing.writeHead(404).end()
  }

  isOperators (query) { return query.get('topic') === 'keyed.op' && query.get('part') === '0' }

  sendNewest (outgoing, query) {
    const newest = new Map()
    const records = this.isOperators(query) ? this.records : []
    for (const [offset, { key, value }] of records.entries()) {
      newest.delete(key)
      if (value !== '') newest.set(key, { key, value: Buffer.from(value).toString('base64'), offset })
    }
    const text = JSON.stringify({ items: [...newest.values()], end: records.length })
    outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  sendFrom (outgoing, query) {
    const from = Number(query.get('from'))
    const wait = Math.min(LONGEST_WAIT_MILLISECONDS, Number(query.get('wait_ms') ?? 0))
    const answer = () => {
      clearTimeout(timer)
      this.waiting.delete(answer)
      if (outgoing.destroyed) return
      const bytes = this.format(this.isOperators(query) ? this.records : [], from)
      outgoing.writeHead(200, { 'content-length': bytes.length }).end(bytes)
    }
    const timer = setTimeout(answer, wait)
    if (from < this.records.length || wait === 0) return answer()
    this.waiting.add(answer)
    outgoing.on('close', () => {
      clearTimeout(timer)
      this.waiting.delete(answer)
    })
  }

  format (records, from) {
    const head = Buffer.alloc(HEAD_BYTES)
    head.writeBigUInt64BE(BigInt(records.length))
    const parts = [head]
    for (const { key, value } of records.slice(from)) {
      const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])
      const length = Buffer.alloc(4)
      length.writeUInt32BE(content.length)
      parts.push(length, content)
    }
    return Buffer.concat(parts)
  }
}
