import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('plainServer.mjs', import.meta.url))

const HEARTBEAT_MS = 1_200

/** One server of a plain service: a process of its own, and its entry in the platform's store. */
export class PlainServer {
  state = 'ready'
  #checkIns = 0
  #child
  #timer

  static async start (store, id, service, answer) {
    const server = new PlainServer()
    Object.assign(server, { store, id, service })
    server.#child = spawn(process.execPath, [PROGRAM, id, String(answer.pieces), String(answer.pieceBytes), String(answer.gapMs)], { stdio: ['ignore', 'pipe', 'inherit'] })
    const [text] = await once(server.#child.stdout, 'data')
    server.address = text.toString().trim()
    server.write()
    server.#timer = setInterval(() => server.#checkIns++, HEARTBEAT_MS)
    return server
  }

  write () {
    const { service, address, state } = this
    this.store.put('servers', this.id, JSON.stringify({ service, address, zone: 'z-a', version: 'v1', slots: 32, state, cold_left_ms: 0, born: 1_796_000_000_000, seq: this.#checkIns }))
  }

  /** Reports that the server leaves. */
  drain () {
    this.state = 'draining'
    this.write()
  }

  /** Ends the process; its entry is removed as it has left. */
  async exit () {
    clearInterval(this.#timer)
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const ended = once(this.#child, 'exit')
      this.#child.kill('SIGKILL')
      await ended
    }
    this.store.remove('servers', this.id)
  }
}
