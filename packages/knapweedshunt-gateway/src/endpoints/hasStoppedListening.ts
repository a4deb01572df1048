import net from 'node:net'
import { runWithTimeout, startTimeout } from 'knapweedshunt-utils'

/** Time for which a connection must stay open to show that a process listens, in milliseconds. While a process ends, the system closes its connections before its listener. */
const MIN_OPEN_MS = 20

type ProbeResult = 'refused' | 'closed' | 'open'

/** Tells whether nothing listens any more at an address, given as IP and port; false if no answer came within the timeout, in milliseconds. Sends no bytes. */
export async function hasStoppedListening (address: string, timeoutMs: number): Promise<boolean> {
  return await runWithTimeout(timeoutMs, [], async signal => {
    const result = await probeListener(address, signal)
    // An endpoint with too many connections closes further ones.
    return result === 'refused' || (result === 'closed' && await probeListener(address, signal) === 'refused')
  })
}

function probeListener (address: string, signal: AbortSignal): Promise<ProbeResult> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = net.connect({ host, port: Number(port) })
    let stopTimeout = () => {}
    const settle = (result: ProbeResult) => {
      stopTimeout()
      signal.removeEventListener('abort', handleTimeout)
      socket.destroy()
      resolve(result)
    }
    const handleTimeout = () => settle('open')
    signal.addEventListener('abort', handleTimeout)
    if (signal.aborted) handleTimeout()
    socket.once('connect', () => {
      stopTimeout = startTimeout(MIN_OPEN_MS, () => settle('open'))
      socket.resume()
    })
    socket.once('close', () => settle('closed'))
    socket.on('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed'))
  })
}
