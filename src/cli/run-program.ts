/**
 * Runs a command as the main program of this process.
 */
import type { CommandIo } from './command.ts'

/** Runs the command with the arguments of the process and passes its exit code to `endWith`, or 1 when it throws. */
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
