/** The benchmark's caller: a broken connection is one more answer, and the load is open. */
import { createCaller, type CallerAnswer, type CallerRequest } from '@baobabpost/caller'

/** A request. */
export interface ClientRequest extends Omit<CallerRequest, 'url'> {
  /** `IP:PORT`. */
  readonly address: string
}

/** An answer; status 0 where the connection broke. */
export type ClientAnswer = CallerAnswer

/** Sends requests. */
export interface HttpClient {
  send: (given: ClientRequest) => Promise<ClientAnswer>
  close: () => void
}

/** Makes a client. */
export function createHttpClient (): HttpClient {
  const caller = createCaller({ maxFreeSockets: 2_000 })
  return {
    send: ({ address, ...given }) =>
      caller.send({ ...given, url: `http://${address}` }).catch(() => ({ status: 0, body: undefined })),
    close: caller.close
  }
}
