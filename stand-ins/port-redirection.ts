/**
 * Sends the connections of one process to ports of its own, so that its paths to others can be cut without theirs.
 */
import { writeFileSync } from 'node:fs'
import path from 'node:path'

/** Ports to connect to in place of others. */
export type PortRedirection = Readonly<Record<number, number>>

const PRELOAD = `
const net = require('node:net')
const ports = JSON.parse(process.env.REDIRECTED_PORTS)
const { connect } = net
net.connect = (options, ...rest) => connect(ports[options.port] ? { ...options, port: ports[options.port] } : options, ...rest)
`

/** Writes the module to a folder that redirects connections; returns the arguments and the environment of a process that loads it. */
export function writePortRedirection (folder: string, ports: PortRedirection): { args: string[], env: Record<string, string> } {
  const preload = path.join(folder, 'redirect-ports.cjs')
  writeFileSync(preload, PRELOAD)
  return { args: ['--require', preload], env: { REDIRECTED_PORTS: JSON.stringify(ports) } }
}
