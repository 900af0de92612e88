/**
 * One probe of a target's health endpoint on a connection of its own.
 */
import { Client } from 'undici'
import type { ProbeResult, SendProbe } from '../process/targets/target-prober.ts'

const STATUS_OK = 200

/** Whether a health answer says that the target is leaving. */
function isLeavingAnswer (text: string): boolean {
  try {
    return (JSON.parse(text) as { state?: unknown } | null)?.state === 'leaving'
  } catch {
    return false
  }
}

/** Sends a probe and closes its connection. Never rejects. */
export const sendProbe: SendProbe = async (target, { path, timeoutMs, signal }): Promise<ProbeResult> => {
  const client = new Client(`http://${target.address}:${target.port}`, { connectTimeout: timeoutMs })
  let isConnected = false
  client.once('connect', () => { isConnected = true })
  try {
    const limit = AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)])
    const answer = await client.request({ method: 'GET', path, signal: limit })
    const text = await answer.body.text()
    if (isLeavingAnswer(text)) return { kind: 'leaving' }
    return answer.statusCode === STATUS_OK ? { kind: 'ready' } : { kind: 'silent' }
  } catch {
    return { kind: isConnected ? 'silent' : 'unreachable' }
  } finally {
    await client.destroy()
  }
}
