/**
 * Reads the processor time and memory of a process from `/proc` (Linux).
 */
import { readFileSync } from 'node:fs'

/** The kernel counts processor time at 100 ticks a second. */
const MS_PER_TICK = 10
/** Positions in `/proc/PID/stat`, counted from the field after the process name. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

/** Returns the processor time that a process has used so far, in ms. */
export function readCpuMs (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The second field is the process name in parentheses, which may contain spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * MS_PER_TICK
}

/** Returns the resident memory of a process, in KB; 0 if the system does not report it. */
export function readResidentKb (pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/^VmRSS:\s+(\d+) kB/m.exec(text)?.[1] ?? 0)
}
