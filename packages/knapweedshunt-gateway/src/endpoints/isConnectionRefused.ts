import net from 'node:net'

/** Tells whether nothing listens at an address, given as IP and port; false if no answer came within the timeout, in milliseconds. Sends no bytes. */
export function isConnectionRefused (address: string, timeoutMs: number): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    const settle = (isRefused: boolean) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isRefused)
    }
    const timer = setTimeout(() => settle(false), timeoutMs)
    socket.once('connect', () => settle(false))
    socket.on('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED'))
  })
}
