/**
 * The program of the users' platform: a gateway alone, without the commands, so that it starts fast.
 */
import { runGateway } from './gateway.ts'

const io = {
  stdout: (text: string) => { process.stdout.write(text) },
  stderr: (text: string) => { process.stderr.write(text) }
}

runGateway(process.argv.slice(2), io).then(
  (exitCode) => process.exit(exitCode),
  (cause: unknown) => {
    io.stderr(`medlarcove: internal: ${cause instanceof Error ? cause.stack ?? cause.message : String(cause)}\n`)
    process.exit(1)
  }
)
