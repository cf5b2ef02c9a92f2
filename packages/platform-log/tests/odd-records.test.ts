import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { findValueFault } from '../src/register-validation.js'
import { createLogHttp, type ReadAnswer } from '../src/log-http.js'

const NESTED = '['.repeat(30_000) + ']'.repeat(30_000)

const closeCallbacks: Array<() => void> = []
afterEach(() => { for (const close of closeCallbacks.splice(0)) close() })

/** Reads from an offset on, at a log that answers with these records as JSON. */
async function readFrom (from: number, next: number, records: string): Promise<ReadAnswer> {
  const server = createServer((incoming, outgoing) => {
    incoming.resume()
    outgoing.end(`{"first":1,"next":${next},"records":[${records}]}`)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const log = createLogHttp({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, answerMilliseconds: 1_000 })
  closeCallbacks.push(() => {
    log.close()
    server.close()
    server.closeAllConnections()
  })
  return log.read(from, 500, 0)
}

describe('the records of a read', () => {
  // The whole answer was refused and read again for ever, so that no process learned of any later record.
  test.each([
    NESTED, 'null', '{}', '{"offset":1e999,"data":"x"}', '{"offset":9e15,"data":"x"}', '{"offset":-1,"data":"x"}', '{"offset":1.5,"data":"x"}',
    '{"offset":4,"data":"x"}', `{"__proto__":${NESTED}}`
  ].map(odd => [odd.slice(0, 30), odd]))('hold beside %s', async (_title, odd) => {
    const { records } = await readFrom(2, 4, `{"offset":2,"data":"a"},${odd},{"offset":3,"data":"b"}`)
    expect(records).toEqual([{ offset: 2, data: 'a' }, { offset: 3, data: 'b' }])
  })

  test('keep the offset of one whose data is no text, and pass over one that stands alone', async () => {
    expect((await readFrom(2, 4, `{"offset":2,"data":${NESTED}},{"offset":3,"data":"b"}`)).records)
      .toEqual([{ offset: 2, data: undefined }, { offset: 3, data: 'b' }])
    expect((await readFrom(3, 9, 'null')).records).toEqual([{ offset: 3, data: undefined }])
    expect((await readFrom(3, 3, 'null')).records).toEqual([])
  })
})

describe('the value of a register', () => {
  // It was kept, and ended each process that formatted it for another one or for the log.
  test.each([
    ['drain/a', '{"name":"a","reason":"","more":?}'],
    ['customer/a', '{"name":"a","team":"a","share":1,"maximumQueuedTasks":1,"parameters":{"lending":{"tool":?}}}']
  ])('%s has few enough levels to be formatted', (register, text) => {
    expect(findValueFault(register, JSON.parse(text.replace('?', '[[1]]')))).toBeUndefined()
    expect(findValueFault(register, JSON.parse(text.replace('?', NESTED)))).toBe('the value has too many levels')
  })
})
