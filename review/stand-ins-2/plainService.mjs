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
    Object.assign(server, { store, id, service, answer, address: '127.0.0.1:0' })
    await server.begin()
    return server
  }

  /** Starts the process, at the address that it had before if it had one. */
  async begin () {
    const { pieces, pieceBytes, gapMs } = this.answer
    this.#child = spawn(process.execPath, [PROGRAM, this.id, this.address.split(':')[1], String(pieces), String(pieceBytes), String(gapMs)], { stdio: ['ignore', 'pipe', 'inherit'] })
    const [text] = await once(this.#child.stdout, 'data')
    this.address = text.toString().trim()
    this.born = Date.now()
    this.write()
    this.#timer = setInterval(() => this.#checkIns++, HEARTBEAT_MS)
  }

  write () {
    const { service, address, state, born } = this
    this.store.put('servers', this.id, JSON.stringify({ service, address, zone: 'z-a', version: 'v1', slots: 32, state, cold_left_ms: 0, born, seq: this.#checkIns }))
  }

  /** Reports that the server leaves. */
  drain () {
    this.state = 'draining'
    this.write()
  }

  /** Ends the process; its entry is removed as it has left. */
  async exit () {
    await this.crash()
    this.store.remove('servers', this.id)
  }

  /** Ends the process, which says nothing of it. */
  async crash () {
    clearInterval(this.#timer)
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const ended = once(this.#child, 'exit')
      this.#child.kill('SIGKILL')
      await ended
    }
  }
}
