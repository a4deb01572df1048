/** Flags and environment variables to checked settings; the frame all programs run in. */
export * from './createCommand.ts'
export * from './describeSettings.ts'
export * from './nameSetting.ts'
export * from './program.ts'
export * from './readSettings.ts'
export * from './runProgram.ts'
export * from './setting.ts'
export * from './settingsError.ts'
