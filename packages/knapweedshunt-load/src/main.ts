#!/usr/bin/env node
import { runCommands } from 'knapweedshunt-settings'
import { compareCommand } from './compareCommand.ts'
import { runCommand } from './runCommand.ts'

/** Runs the command named on the command line. */
await runCommands({
  name: 'knapweedshunt-load',
  description: 'Sends nested-prefix traffic to a deployment and reports hit rate, time to first token and wasted recomputation',
  commands: { run: runCommand, compare: compareCommand }
})
