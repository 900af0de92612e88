/**
 * Starts, watches and stops the child processes of a replay, the demo or a bench.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const MAX_KEPT_LINES = 20
const POLL_INTERVAL_MS = 50
const STOP_TIMEOUT_MS = 60_000

/** Child processes, killed when this process exits. */
const runningChildren = new Set<ChildProcess>()
process.once('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** Options of `startProgram`. */
export interface ProgramOptions {
  /** Name of the process in messages. */
  name: string
  /** The executable file. */
  file: string
  args: string[]
  /** Text in a line of output that shows that the process is ready; without it the process counts as ready at once. */
  readyText?: string
  /** Working directory. */
  cwd?: string
  /** Environment variables added to those of this process. */
  env?: Record<string, string>
  /** Called for each line of stdout and stderr. */
  handleLine?: (line: string) => void
}

/** A running process. */
export interface Program {
  name: string
  pid: number
  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void
  /**
   * Sends SIGTERM, and SIGKILL after `timeoutMs` (60 s when left out). Resolves with the exit code; null when the
   * process was ended by a signal.
   */
  stop(timeoutMs?: number): Promise<number | null>
  /** Resolves with the exit code when the process has exited; null after a signal. */
  waitForExit(): Promise<number | null>
  /** Rejects when the process exits, with its last 20 lines of output. */
  waitForFailure(): Promise<never>
}

/**
 * Starts a process and resolves when it is ready.
 *
 * Errors: throws with the last 20 lines of output when the process exits before it is ready.
 */
export async function startProgram (options: ProgramOptions): Promise<Program> {
  // In a process group of its own, so that Ctrl-C reaches only this process, which stops the others in order.
  const child = spawn(options.file, options.args, { cwd: options.cwd, env: { ...process.env, ...options.env }, stdio: ['ignore', 'pipe', 'pipe'], detached: true })
  runningChildren.add(child)
  child.once('close', () => runningChildren.delete(child))
  const lastLines: string[] = []
  const exited = new Promise<number | null>((resolve) => {
    child.once('close', resolve)
    child.once('error', (error) => {
      lastLines.push(error.message)
      resolve(null)
    })
  })
  const ready = new Promise<'ready'>((resolve) => {
    const handleLine = (line: string) => {
      lastLines.push(line)
      if (lastLines.length > MAX_KEPT_LINES) lastLines.shift()
      options.handleLine?.(line)
      if (options.readyText !== undefined && line.includes(options.readyText)) resolve('ready')
    }
    createInterface({ input: child.stdout }).on('line', handleLine)
    createInterface({ input: child.stderr }).on('line', handleLine)
    if (options.readyText === undefined) resolve('ready')
  })
  const waitForFailure = async (): Promise<never> => {
    await exited
    throw new Error(`${options.name} exited. Its last lines of output:\n${lastLines.join('\n')}`)
  }
  await Promise.race([ready, waitForFailure()])
  return {
    name: options.name,
    pid: child.pid ?? 0,
    sendSignal: (signal) => { child.kill(signal) },
    async stop (timeoutMs = STOP_TIMEOUT_MS) {
      if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs)
      const exitCode = await exited
      clearTimeout(timer)
      return exitCode
    },
    waitForExit: () => exited,
    waitForFailure
  }
}

/**
 * Runs a program until it exits and returns its stdout.
 *
 * Errors: throws with stdout and stderr when the exit code is not 0.
 */
export async function runProgram (file: string, args: string[], cwd?: string): Promise<string> {
  const child = spawn(file, args, { cwd, stdio: ['ignore', 'pipe', 'pipe'] })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (data) => { stdout += String(data) })
  child.stderr.on('data', (data) => { stderr += String(data) })
  const [exitCode] = await once(child, 'close')
  if (exitCode !== 0) throw new Error(`${args.slice(0, 3).join(' ')} exited with code ${exitCode}:\n${stdout}${stderr}`)
  return stdout
}

/**
 * Calls `check` every 50 ms until it returns a value; an error of `check` counts as no value. `condition` is named in
 * the error message.
 *
 * Errors: throws after `timeoutMs`.
 */
export async function waitFor<T> (condition: string, timeoutMs: number, check: () => Promise<T | undefined>): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    const value = await check().catch(() => undefined)
    if (value !== undefined) return value
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw new Error(`Timed out after ${timeoutMs} ms while waiting for: ${condition}.`)
}
