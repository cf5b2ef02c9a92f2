/** Client, servers and log of a test of shared connections; a test fails if an error reaches the process. */
import { afterEach, beforeEach, expect } from 'vitest'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { silentLogger, type EventLogger } from '@baobabpost/common'
import {
  createCallClient, createCallServer, type CallClient, type CallHandlers, type CallParameters
} from '@baobabpost/fleet-calls'
import { frame, listenOnLoopback, startRawServer, type RawRequest, type RawServer } from './raw-peer.js'

/** State of an agent, as its answers have it. */
export const STATE = {
  incarnation: 'a-1',
  clock: 5,
  cleared: true,
  room: {
    free: { processor: 1, memory: 1, accelerators: 0 }, waiting: [], releaseRate: 0, slowness: 1, failureShare: 0
  }
}
export const WATCH: CallParameters<'watch'> = {
  caller: { entry: 'e-1', incarnation: 'e-1-1', heardAt: 0 }, acknowledged: 0, profileVersion: 0, waitMilliseconds: 0
}
export const STOP: CallParameters<'stop'> = { caller: WATCH.caller, runs: [] }

export interface SharedConnectionTest {
  client: CallClient
  /** Events that were logged as warnings, with their reasons. */
  faults: string[]
  /** Called after the test. */
  closers: Array<() => void>
  rawServer: (handle: (request: RawRequest, socket: Socket) => void) => Promise<RawServer>
  callServer: (handlers: CallHandlers) => Promise<{ server: Server, address: string }>
}

export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Encodes an answer to a stop call. */
export function answer (id: number): Buffer {
  return frame(JSON.stringify({ jsonrpc: '2.0', id, result: STATE }))
}

/** Prepares each test of a file. The fields of the returned object are renewed before each test. */
export function useSharedConnections (): SharedConnectionTest {
  const uncaught: unknown[] = []
  const recordUncaught = (failure: unknown): void => { uncaught.push(failure) }
  const logger: EventLogger = {
    ...silentLogger, warn: (event, fields) => { context.faults.push(`${event}: ${String(fields?.['reason'])}`) }
  }
  const context: SharedConnectionTest = {
    client: createCallClient(logger),
    faults: [],
    closers: [],
    rawServer: async handle => {
      const server = await startRawServer(handle)
      context.closers.push(() => { server.close() })
      return server
    },
    callServer: async handlers => {
      const server = createCallServer(handlers, logger)
      context.closers.push(() => {
        server.close()
        server.closeAllConnections()
      })
      return { server, address: await listenOnLoopback(server) }
    }
  }
  beforeEach(() => {
    Object.assign(context, { client: createCallClient(logger), faults: [], closers: [] })
    uncaught.length = 0
    process.on('uncaughtException', recordUncaught)
  })
  afterEach(() => {
    context.client.close()
    for (const close of context.closers) close()
    process.off('uncaughtException', recordUncaught)
    expect(uncaught).toEqual([])
  })
  return context
}
