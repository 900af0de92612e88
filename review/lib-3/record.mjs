// The record of a script: what was sent, answered and run, with the time since the start.
import { writeFileSync } from 'node:fs'

/** Creates a record that is written to a file at the end. */
export function createRecord (file) {
  const startedAt = performance.now()
  const lines = []
  const add = (text) => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`) }
  return {
    add,
    nowMs: () => performance.now() - startedAt,
    write: () => writeFileSync(file, `${lines.join('\n')}\n`)
  }
}

/** Runs a script; ends the process with 0 when the rule held, 1 when it was broken, and 2 when the case could not run. */
export async function runCase (file, play) {
  const record = createRecord(file)
  let code = 2
  try {
    code = await play(record)
  } catch (cause) {
    record.add(`could not run: ${cause.stack}`)
  }
  record.add(`exit ${code}`)
  record.write()
  process.exit(code)
}
