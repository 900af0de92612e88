/**
 * Starts the bundled gateway beside this file from the code that the build compiled, so that a process that starts again
 * serves sooner. Without such code, or with code that does not fit this runtime, the program is compiled as usual.
 *
 * With `--write-code` as the first argument, which the build passes, the compiled code is written at the end.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, wrap } from 'node:module'
import path from 'node:path'
import { Script } from 'node:vm'
import { describeCause } from '../errors.ts'

const WRITE_OPTION = '--write-code'

type RunModule = (exports: object, require: NodeJS.Require, module: { exports: object }, file: string, folder: string) => void

function warn (message: string): void {
  process.stderr.write(`medlarcove: ${message}; starting takes longer\n`)
}

/** Reads the compiled code; undefined, with a line on standard error, when it cannot be read. */
function readCompiled (file: string): Buffer | undefined {
  try {
    return readFileSync(file)
  } catch (cause) {
    warn(`the compiled code cannot be read: ${describeCause(cause)}`)
    return undefined
  }
}

function runGateway (folder: string, isWriting: boolean): void {
  const file = path.join(folder, 'gateway.cjs')
  const compiledFile = path.join(folder, 'gateway.code')
  const cachedData = isWriting ? undefined : readCompiled(compiledFile)
  const script = new Script(wrap(readFileSync(file, 'utf8')), { filename: file, cachedData })
  if (script.cachedDataRejected) warn('the compiled code does not fit this runtime')
  if (isWriting) process.on('exit', () => writeFileSync(compiledFile, script.createCachedData()))
  const program = { exports: {} }
  const runModule = script.runInThisContext() as RunModule
  runModule(program.exports, createRequire(file), program, file, folder)
}

const isWriting = process.argv[2] === WRITE_OPTION
if (isWriting) process.argv.splice(2, 1)
runGateway(__dirname, isWriting)
