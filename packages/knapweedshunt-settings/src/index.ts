/** Reads and validates settings from flags and environment variables, and runs programs with them. */
export * from './createCommand.ts'
export * from './describeSettings.ts'
export * from './settingNames.ts'
export * from './program.ts'
export * from './readSettings.ts'
export * from './runProgram.ts'
export * from './setting.ts'
export * from './settingsError.ts'
