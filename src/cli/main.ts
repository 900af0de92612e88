/**
 * The program `medlarcove` with all commands.
 */
import { runCommandLine } from './commands.ts'
import { runAsProgram } from './run-program.ts'

runAsProgram(runCommandLine, (exitCode) => { process.exitCode = exitCode })
