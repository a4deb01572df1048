#!/usr/bin/env node
import { runProgram } from 'knapweedshunt-settings'
import { ADMIN_SETTINGS } from './settings.ts'
import { startAdmin } from './startAdmin.ts'

/** Runs the admin program until SIGINT or SIGTERM. */
await runProgram({
  name: 'knapweedshunt-admin',
  description: 'Resource interface for operators',
  settings: ADMIN_SETTINGS,
  async run (values, signal) {
    const { adminHost, adminPort, ...rest } = values
    const admin = await startAdmin({ ...rest, listen: { host: adminHost, port: adminPort } })
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await admin.stop()
  }
})
