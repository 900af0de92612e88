/**
 * Runs a command as the whole of this process.
 */
import type { CommandIo } from './command.ts'

/** Runs the command with the arguments of the process; `endWith` gets its exit code, 1 when it failed inside. */
export function runAsProgram (run: (args: string[], io: CommandIo) => Promise<number>, endWith: (exitCode: number) => void): void {
  const io: CommandIo = {
    stdout: (text) => { process.stdout.write(text) },
    stderr: (text) => { process.stderr.write(text) }
  }
  run(process.argv.slice(2), io).then(endWith, (cause: unknown) => {
    io.stderr(`medlarcove: internal: ${cause instanceof Error ? cause.stack ?? cause.message : String(cause)}\n`)
    endWith(1)
  })
}
