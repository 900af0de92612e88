/**
 * The program `medlarcove`.
 */
import { runCommandLine } from './commands.ts'

const io = {
  stdout: (text: string) => { process.stdout.write(text) },
  stderr: (text: string) => { process.stderr.write(text) }
}

runCommandLine(process.argv.slice(2), io).then(
  (exitCode) => { process.exitCode = exitCode },
  (cause: unknown) => {
    io.stderr(`medlarcove: internal: ${cause instanceof Error ? cause.stack ?? cause.message : String(cause)}\n`)
    process.exitCode = 1
  }
)
