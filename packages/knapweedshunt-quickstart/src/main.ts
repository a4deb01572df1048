#!/usr/bin/env node
import { fileURLToPath } from 'node:url'
import { runProgram } from 'knapweedshunt-settings'
import { runQuickstart } from './runQuickstart.ts'

const ROOT = fileURLToPath(new URL('../../../', import.meta.url))

/** Runs all parts in one process until SIGINT or SIGTERM. */
await runProgram({
  name: 'knapweedshunt-quickstart',
  description: 'All parts as tasks in one process, with example resources and a small load',
  settings: {},
  run: (_values, signal) => runQuickstart(ROOT, signal)
})
