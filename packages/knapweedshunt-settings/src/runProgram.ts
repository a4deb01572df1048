import { defineCommand, runMain } from 'citty'
import type { CommandDef } from 'citty'
import { createCommand } from './createCommand.ts'
import type { Program } from './program.ts'
import type { SettingTable } from './setting.ts'

/** A program with several commands. */
export interface ProgramWithCommands {
  name: string
  description: string
  /** Commands by the name given on the command line. */
  commands: Record<string, CommandDef>
}

/** Runs a program with the command-line arguments of this process. */
export async function runProgram<T extends SettingTable> (program: Program<T>): Promise<void> {
  await runMain(createCommand(program))
}

/** Runs the command selected by the command-line arguments of this process. */
export async function runCommands (program: ProgramWithCommands): Promise<void> {
  const { name, description, commands } = program
  await runMain(defineCommand({ meta: { name, description }, subCommands: commands }))
}
