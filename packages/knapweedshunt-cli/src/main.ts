#!/usr/bin/env node
import { runCommands } from 'knapweedshunt-settings'
import { applyCommand } from './commands/apply.ts'
import { drainCommand } from './commands/drain.ts'
import { explainCommand } from './commands/explain.ts'
import { getCommand } from './commands/get.ts'
import { hashKeyCommand } from './commands/hashKey.ts'
import { deleteCommand } from './commands/delete.ts'
import { storyCommand } from './commands/story.ts'
import { topCommand } from './commands/top.ts'
import { waitCommand } from './commands/wait.ts'
import { watchCommand } from './commands/watch.ts'

await runCommands({
  name: 'knapweedshuntctl',
  description: 'Operators\' command line of knapweedshunt',
  commands: {
    apply: applyCommand,
    get: getCommand,
    watch: watchCommand,
    wait: waitCommand,
    delete: deleteCommand,
    drain: drainCommand,
    explain: explainCommand,
    story: storyCommand,
    top: topCommand,
    'hash-key': hashKeyCommand
  }
})
