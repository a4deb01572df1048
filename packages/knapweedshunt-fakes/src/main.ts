#!/usr/bin/env node
import { createLogger } from 'knapweedshunt-logger'
import { runProgram } from 'knapweedshunt-settings'
import { z } from 'zod'
import { startFakeEngine } from './startFakeEngine.ts'
import { startFakePlatform } from './startFakePlatform.ts'
import { startFakeService } from './startFakeService.ts'

/** Starts one stand-in; which one is a setting. */
await runProgram({
  name: 'knapweedshunt-fakes',
  description: 'Stand-in for a model engine, a plain service or the platform',
  settings: {
    role: { schema: z.enum(['platform', 'engine', 'service']), describe: 'what to stand in for: platform, engine or service' },
    host: { schema: z.ipv4(), describe: 'an IPv4 number to listen on', fallback: '127.0.0.1' },
    port: { schema: z.coerce.number().int().min(0).max(65_535), describe: 'a port from 0 to 65535, 0 for a free one', fallback: '0' },
    endpoint: { schema: z.string().min(1), describe: 'the endpoint\'s name', fallback: 'endpoint' },
    weightsVersion: { schema: z.string().min(1), describe: 'the weights an engine starts with', fallback: 'w1' }
  },
  async run (values, signal) {
    const log = createLogger('fakes')
    const fake = await startRole(values)
    log.info('Stand-in listens.', { role: values.role, url: fake.url })
    process.stdout.write(`${fake.url}\n`)
    await new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { once: true }))
    await fake.stop()
  }
})

function startRole (values: { role: 'platform' | 'engine' | 'service', host: string, port: number, endpoint: string, weightsVersion: string }) {
  switch (values.role) {
    case 'platform': return startFakePlatform(values)
    case 'engine': return startFakeEngine(values)
    case 'service': return startFakeService(values)
  }
}
