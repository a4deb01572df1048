import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

/** What {@link RouterProcess} starts: resources of the router, views of VMs, none if not set, and limit of its heap. */
export interface RouterProcessOptions { resources: unknown[], vms?: unknown[], maxHeapMb: number }

/** Report of the process: most memory and longest hold-up so far. */
export interface RouterProcessReport { callerUrl: string, mostHeapMb: number, mostBuffersMb: number, mostResidentMb: number, mostHeldUpMs: number }

/** A router as a process of its own, so that its memory and its event loop can be measured. */
export class RouterProcess {
  readonly #child: ChildProcess
  #report: RouterProcessReport | null = null

  private constructor ({ resources, vms = [], maxHeapMb }: RouterProcessOptions) {
    const execArgv = ['--import=tsx', '--conditions=source', `--max-old-space-size=${maxHeapMb}`]
    this.#child = fork(fileURLToPath(new URL('runRouterProcess.ts', import.meta.url)), [JSON.stringify(resources), JSON.stringify(vms)], { execArgv, stdio: ['ignore', 'ignore', 'inherit', 'ipc'] })
    this.#child.on('message', report => { this.#report = report as RouterProcessReport })
  }

  /** Starts the process; resolves when its router is ready. */
  static async start (options: RouterProcessOptions): Promise<RouterProcess> {
    const router = new RouterProcess(options)
    await Promise.race([once(router.#child, 'message'), once(router.#child, 'exit')])
    return router
  }

  /** Latest report of the process. */
  get report (): RouterProcessReport {
    if (this.#report === null) throw new Error('The router process has not reported.')
    return this.#report
  }

  /** Whether the process has not ended. */
  get isRunning (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Kills the process. */
  stop (): void {
    this.#child.kill('SIGKILL')
  }
}
