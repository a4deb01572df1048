import type http from 'node:http'
import { setImmediate } from 'node:timers/promises'
import { PARSING_RESUMED } from './limitParsing.ts'

/** Turns of the event loop without an arrival after which all that had arrived has been read: a connection is accepted in one turn and its request read in the next. */
const QUIET_TURNS = 2

/** Maximum number of turns while more keeps arriving; a turn accepts one connection, and no more wait to be accepted than this. */
const MAX_TURNS = 1_000

/** Resolves once the connections and requests that have reached this process are read. After the process was held up, timers run before that, and a connection that is closed with unread bytes is reset. Waits no longer once the signal aborts: arrivals need not end, and a turn may take long. */
export async function waitForArrivals (server: http.Server, signal?: AbortSignal): Promise<void> {
  let quietTurns = 0
  const markArrival = () => { quietTurns = 0 }
  // Many connections may wait at a time.
  server.setMaxListeners(0)
  server.on('connection', markArrival).on('request', markArrival).on(PARSING_RESUMED, markArrival)
  for (let turn = 0; turn < MAX_TURNS && quietTurns < QUIET_TURNS && signal?.aborted !== true; turn++) {
    quietTurns++
    await setImmediate()
  }
  server.off('connection', markArrival).off('request', markArrival).off(PARSING_RESUMED, markArrival)
}
