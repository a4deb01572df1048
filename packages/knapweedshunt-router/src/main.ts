#!/usr/bin/env node
import { runProgram } from 'knapweedshunt-settings'
import { ROUTER_SETTINGS } from './settings.ts'
import { startRouter } from './startRouter.ts'

/** Runs the router until SIGINT or SIGTERM. */
await runProgram({
  name: 'knapweedshunt-router',
  description: 'Data path: admits, places and streams requests, runs orders once',
  settings: ROUTER_SETTINGS,
  async run (values, signal) {
    const { callerHost, callerPort, peerHost, peerPort, ...rest } = values
    const router = await startRouter({ ...rest, caller: { host: callerHost, port: callerPort }, peer: { host: peerHost, port: peerPort } })
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await router.stop()
  }
})
