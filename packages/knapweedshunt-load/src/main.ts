#!/usr/bin/env node
import { runCommands } from 'knapweedshunt-settings'
import { compareCommand } from './compareCommand.ts'
import { runCommand } from './runCommand.ts'

/** Runs the command that the command line names. */
await runCommands({
  name: 'knapweedshunt-load',
  description: 'Drives a deployment with nested-prefix traffic and reports hit rate, time to first token and wasted recomputation',
  commands: { run: runCommand, compare: compareCommand }
})
