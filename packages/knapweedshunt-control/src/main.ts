#!/usr/bin/env node
import { runProgram } from 'knapweedshunt-settings'
import { CONTROL_SETTINGS } from './settings.ts'
import { startControl } from './startControl.ts'

/** Runs the control process until SIGINT or SIGTERM. */
await runProgram({
  name: 'knapweedshunt-control',
  description: 'Per-VM control: follows resources and VMs, exchanges digests with peers, feeds the local router',
  settings: CONTROL_SETTINGS,
  async run (values, signal) {
    const { controlHost, controlPort, ...rest } = values
    const control = await startControl({ ...rest, listen: { host: controlHost, port: controlPort } })
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await control.stop()
  }
})
