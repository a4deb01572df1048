#!/usr/bin/env node
import { fileURLToPath } from 'node:url'
import { runProgram } from 'knapweedshunt-settings'
import { runQuickstart } from './runQuickstart.ts'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))

/** Runs all programs in one process until SIGINT or SIGTERM. */
await runProgram({
  name: 'knapweedshunt-quickstart',
  description: 'Runs all programs in one process, with example resources and a short load',
  settings: {},
  run: (_values, signal) => runQuickstart(ROOT, signal)
})
