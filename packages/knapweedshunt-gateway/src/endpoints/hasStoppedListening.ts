import net from 'node:net'

/** Time for which a connection must stay open to show that a process listens, in milliseconds. While a process ends, the system closes its connections before its listener. */
const MIN_OPEN_MS = 20

type ProbeResult = 'refused' | 'closed' | 'open'

/** Tells whether nothing listens any more at an address, given as IP and port; false if no answer came within the timeout, in milliseconds. Sends no bytes. */
export async function hasStoppedListening (address: string, timeoutMs: number): Promise<boolean> {
  const signal = AbortSignal.timeout(timeoutMs)
  const result = await probeListener(address, signal)
  // An endpoint with too many connections closes further ones.
  return result === 'refused' || (result === 'closed' && await probeListener(address, signal) === 'refused')
}

function probeListener (address: string, signal: AbortSignal): Promise<ProbeResult> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    let timer: NodeJS.Timeout | undefined
    const settle = (result: ProbeResult) => {
      clearTimeout(timer)
      signal.removeEventListener('abort', handleTimeout)
      socket.destroy()
      resolve(result)
    }
    const handleTimeout = () => settle('open')
    signal.addEventListener('abort', handleTimeout)
    if (signal.aborted) handleTimeout()
    socket.once('connect', () => {
      timer = setTimeout(() => settle('open'), MIN_OPEN_MS)
      socket.resume()
    })
    socket.once('close', () => settle('closed'))
    socket.on('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed'))
  })
}
