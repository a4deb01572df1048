import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

const PACKAGES = new URL('../../../', import.meta.url)
const children = new Set<ChildProcess>()

// Kills the child processes if the test process exits early.
process.once('exit', () => children.forEach(child => child.kill('SIGKILL')))

/** A program that runs in its own process. */
export interface RunningProgram {
  child: ChildProcess
  /** Context of the log line that reports that the program listens, such as its URLs. */
  context: Record<string, string>
  /** Sends a signal and waits for the exit; resolves to the exit code, or null if the signal ended the process. */
  terminate (signal: NodeJS.Signals): Promise<number | null>
}

/** Result of a program that has exited; `code` is null if a signal ended it. */
export interface ProgramResult {
  code: number | null
  stdout: string
  stderr: string
}

/** Starts a program from its sources and waits until it logs that it listens; throws if it exits first. */
export async function startProgram (name: string, flags: Record<string, string>): Promise<RunningProgram> {
  const child = spawnProgram(name, formatFlags(flags))
  const exited = new Promise<number | null>(resolve => child.once('exit', resolve))
  const context = await Promise.race([readListenContext(child), exited.then(code => { throw new Error(`${name} exited with code ${code} before it listened.`) })])
  return {
    child,
    context,
    terminate: signal => {
      child.kill(signal)
      return exited
    }
  }
}

/** Runs a program until it exits. */
export function runToExit (name: string, args: string[]): Promise<ProgramResult> {
  const child = spawnProgram(name, args)
  const result: ProgramResult = { code: null, stdout: '', stderr: '' }
  child.stdout!.on('data', chunk => { result.stdout += String(chunk) })
  child.stderr!.on('data', chunk => { result.stderr += String(chunk) })
  return new Promise(resolve => child.once('close', code => resolve({ ...result, code })))
}

/** Formats flags as command-line arguments. */
export function formatFlags (flags: Record<string, string>): string[] {
  return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value])
}

function spawnProgram (name: string, args: string[]): ChildProcess {
  const main = new URL(`knapweedshunt-${name}/src/main.ts`, PACKAGES).pathname
  const child = spawn(process.execPath, ['--import=tsx', '--conditions=source', main, ...args], {
    env: { ...process.env, ROARR_LOG: 'true' },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  children.add(child)
  child.once('exit', () => children.delete(child))
  child.stderr.on('data', chunk => process.stderr.write(`${name}: ${String(chunk)}`))
  return child
}

function readListenContext (child: ChildProcess): Promise<Record<string, string>> {
  return new Promise(resolve => {
    createInterface({ input: child.stdout! }).on('line', line => {
      if (!line.startsWith('{')) return
      const entry = JSON.parse(line) as { message: string, context: Record<string, string> }
      if (entry.message.endsWith('listens.')) resolve(entry.context)
    })
  })
}
