/** Process that opens crowds as its parent says, so that they take no processor time from the parent's own clients. */
import { setTimeout as pause } from 'node:timers/promises'
import { openCrowd, type ClientBehaviour } from './client-crowd.js'

/** A crowd that holds its connections for a time. */
export interface CrowdOrder {
  readonly address: string
  readonly count: number
  readonly behaviour: ClientBehaviour
  readonly holdMilliseconds: number
}

async function press ({ address, count, behaviour, holdMilliseconds }: CrowdOrder): Promise<void> {
  const crowd = await openCrowd(address, count, behaviour)
  await pause(holdMilliseconds)
  crowd.close()
}

process.on('message', (order: CrowdOrder) => {
  press(order).catch((failure: unknown) => { process.stderr.write(`${String(failure)}\n`) })
})
process.on('disconnect', () => { process.exit() })
