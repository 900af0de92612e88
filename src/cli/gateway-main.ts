/**
 * The program of the users' platform: a gateway alone, without the commands, so that it starts fast.
 */
import { runGateway } from './gateway.ts'
import { runAsProgram } from './run-program.ts'

runAsProgram(runGateway, (exitCode) => process.exit(exitCode))
