/**
 * Finds out why a target closed a connection without a response: whether its process has ended, or only the connection.
 */
import { connect } from 'node:net'
import type { Clock } from '../clock.ts'
import type { HostPort } from '../unicast-address.ts'

/**
 * What a new connection to the target shows: `crashed` when it is refused, since nothing listens there any more; `alive`
 * when it is accepted; `unknown` when there is no response, as after the loss of the host or of the network.
 */
export type CrashFinding = 'crashed' | 'alive' | 'unknown'

/** The check fails as `unknown` after this time, in ms. */
const CHECK_TIMEOUT_MS = 100

/** Opens a connection to a target and closes it at once. Never rejects. */
export function checkForCrash ({ address, port }: HostPort, clock: Clock): Promise<CrashFinding> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port })
    const finish = (finding: CrashFinding): void => {
      cancelTimer()
      socket.destroy()
      resolve(finding)
    }
    const cancelTimer = clock.startTimer(CHECK_TIMEOUT_MS, () => finish('unknown'))
    socket.on('connect', () => finish('alive'))
    socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED' ? 'crashed' : 'unknown'))
  })
}
