/**
 * Health probe: queries the health endpoint of a target on a new connection.
 */
import { Client } from 'undici'
import type { HealthProbeResult, SendHealthProbe } from '../process/targets/target-prober.ts'

const STATUS_OK = 200

/** Returns whether the body of a health response reports that the target is leaving. */
function isLeavingResponse (text: string): boolean {
  try {
    return (JSON.parse(text) as { state?: unknown } | null)?.state === 'leaving'
  } catch {
    return false
  }
}

/** Sends a health probe and closes its connection. Never rejects. */
export const sendHealthProbe: SendHealthProbe = async (target, { path, timeoutMs, signal }): Promise<HealthProbeResult> => {
  const client = new Client(`http://${target.address}:${target.port}`, { connectTimeout: timeoutMs })
  let isConnected = false
  client.once('connect', () => { isConnected = true })
  try {
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)])
    const response = await client.request({ method: 'GET', path, signal: timeoutSignal })
    const text = await response.body.text()
    if (isLeavingResponse(text)) return { kind: 'leaving' }
    return response.statusCode === STATUS_OK ? { kind: 'ready' } : { kind: 'silent' }
  } catch {
    return { kind: isConnected ? 'silent' : 'unreachable' }
  } finally {
    await client.destroy()
  }
}
