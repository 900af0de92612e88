/**
 * The program for the users' platform. It holds only the command `gateway`, so that it starts faster.
 */
import { runGateway } from './gateway.ts'
import { runAsProgram } from './run-program.ts'

runAsProgram(runGateway, (exitCode) => process.exit(exitCode))
