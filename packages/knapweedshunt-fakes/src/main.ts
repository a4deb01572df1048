#!/usr/bin/env node
import { createLogger } from 'knapweedshunt-logger'
import { runProgram } from 'knapweedshunt-settings'
import { FAKES_SETTINGS } from './settings.ts'
import { startFakeEngine } from './startFakeEngine.ts'
import { startFakePlatform } from './startFakePlatform.ts'
import { startFakeService } from './startFakeService.ts'

/** Starts the fake that the `role` setting names. */
await runProgram({
  name: 'knapweedshunt-fakes',
  description: 'Fake of a model engine, a plain service or the platform',
  settings: FAKES_SETTINGS,
  async run (values, signal) {
    const log = createLogger('fakes')
    const fake = await startFake(values)
    log.info('Fake listens.', { role: values.role, url: fake.url })
    process.stdout.write(`${fake.url}\n`)
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await fake.stop()
  }
})

function startFake (values: { role: 'platform' | 'engine' | 'service', host: string, port: number, endpoint: string, weightsVersion: string }) {
  switch (values.role) {
    case 'platform': return startFakePlatform(values)
    case 'engine': return startFakeEngine(values)
    case 'service': return startFakeService(values)
  }
}
