/** HTTP client of the bench: returns a broken connection as an answer and has no limit on concurrent requests. */
import { createCaller, type CallerAnswer, type CallerRequest } from '@baobabpost/caller'

export interface ClientRequest extends Omit<CallerRequest, 'url'> {
  /** `IP:PORT`. */
  readonly address: string
}

/** An answer; status 0 if the connection broke. */
export type ClientAnswer = CallerAnswer

export interface HttpClient {
  send: (request: ClientRequest) => Promise<ClientAnswer>
  close: () => void
}

export function createHttpClient (): HttpClient {
  const caller = createCaller({ maxFreeSockets: 2_000 })
  return {
    send: ({ address, ...request }) =>
      caller.send({ ...request, url: `http://${address}` }).catch(() => ({ status: 0, body: undefined })),
    close: caller.close
  }
}
