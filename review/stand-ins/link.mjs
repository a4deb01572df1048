import net from 'node:net'

/** A link to a server on loopback. While it is cut, nothing passes on channels that are open, and new ones get no answer. */
export class Link {
  #target
  #server = net.createServer({ noDelay: true }, socket => this.#accept(socket))
  #isCut = false
  #channels = new Set()

  constructor (target) {
    this.#target = target
  }

  /** Listens on the host; the result is the address of the link. */
  async start (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.#server.unref()
    return `${host}:${this.#server.address().port}`
  }

  cut () {
    this.#isCut = true
  }

  /** New channels pass again; those that were open during the cut are reset. */
  heal () {
    this.#isCut = false
    for (const socket of this.#channels) socket.resetAndDestroy()
  }

  #accept (near) {
    const [host, port] = this.#target.split(':')
    const far = net.connect({ host, port: Number(port), noDelay: true })
    for (const [from, to] of [[near, far], [far, near]]) {
      this.#channels.add(from)
      from.on('data', chunk => { if (!this.#isCut) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => {
        this.#channels.delete(from)
        if (!this.#isCut) to.destroy()
      })
    }
  }
}
