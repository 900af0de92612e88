/**
 * Starts, watches and ends the processes of a replay, the demo or a bench.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const SHOWN_LINES = 20
const ASK_AGAIN_MS = 50
const END_TIMEOUT_MS = 60_000

/** Children that must not outlive this process. */
const running = new Set<ChildProcess>()
process.once('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** What to run. */
export interface ProgramOptions {
  /** Names the process in messages. */
  name: string
  file: string
  args: string[]
  /** Text of the output that says that the process is ready; ready at once when left out. */
  readyText?: string
  /** Working folder. */
  cwd?: string
  /** Variables besides those of this process. */
  env?: Record<string, string>
  /** Called for each line of output. */
  handleLine?: (line: string) => void
}

/** A running process. */
export interface Program {
  name: string
  pid: number
  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void
  /** Ends the process by SIGTERM, and by SIGKILL when it does not end in time; resolves with its exit code. */
  stop(timeoutMs?: number): Promise<number | null>
  /** Resolves with the exit code when the process has ended. */
  waitForEnd(): Promise<number | null>
  /** Rejects with the last lines of output when the process ends. */
  waitForFailure(): Promise<never>
}

/** Starts a process and resolves when it is ready; throws with its last lines when it ends before. */
export async function startProgram (options: ProgramOptions): Promise<Program> {
  // In a process group of its own, so that ctrl-C at the terminal reaches only this process, which ends the others in order.
  const child = spawn(options.file, options.args, { cwd: options.cwd, env: { ...process.env, ...options.env }, stdio: ['ignore', 'pipe', 'pipe'], detached: true })
  running.add(child)
  child.once('close', () => running.delete(child))
  const lastLines: string[] = []
  const ended = new Promise<number | null>((resolve) => {
    child.once('close', resolve)
    child.once('error', (error) => {
      lastLines.push(error.message)
      resolve(null)
    })
  })
  const ready = new Promise<'ready'>((resolve) => {
    const handleLine = (line: string) => {
      lastLines.push(line)
      if (lastLines.length > SHOWN_LINES) lastLines.shift()
      options.handleLine?.(line)
      if (options.readyText !== undefined && line.includes(options.readyText)) resolve('ready')
    }
    createInterface({ input: child.stdout }).on('line', handleLine)
    createInterface({ input: child.stderr }).on('line', handleLine)
    if (options.readyText === undefined) resolve('ready')
  })
  const waitForFailure = async (): Promise<never> => {
    await ended
    throw new Error(`${options.name} ended:\n${lastLines.join('\n')}`)
  }
  await Promise.race([ready, waitForFailure()])
  return {
    name: options.name,
    pid: child.pid ?? 0,
    sendSignal: (signal) => { child.kill(signal) },
    async stop (timeoutMs = END_TIMEOUT_MS) {
      if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs)
      const exitCode = await ended
      clearTimeout(timer)
      return exitCode
    },
    waitForEnd: () => ended,
    waitForFailure
  }
}

/** Runs a program to its end and returns its output; throws when the exit code is not 0. */
export async function runProgram (file: string, args: string[], cwd?: string): Promise<string> {
  const child = spawn(file, args, { cwd, stdio: ['ignore', 'pipe', 'pipe'] })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (data) => { stdout += String(data) })
  child.stderr.on('data', (data) => { stderr += String(data) })
  const [exitCode] = await once(child, 'close')
  if (exitCode !== 0) throw new Error(`${args.slice(0, 3).join(' ')} ended with exit code ${exitCode}:\n${stdout}${stderr}`)
  return stdout
}

/** Calls `check` until it returns a value; throws after `timeoutMs`. */
export async function waitFor<T> (what: string, timeoutMs: number, check: () => Promise<T | undefined>): Promise<T> {
  const untilMs = performance.now() + timeoutMs
  while (performance.now() < untilMs) {
    const value = await check().catch(() => undefined)
    if (value !== undefined) return value
    await new Promise((resolve) => setTimeout(resolve, ASK_AGAIN_MS))
  }
  throw new Error(`Waited ${timeoutMs} ms in vain: ${what}.`)
}
