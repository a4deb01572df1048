/** Flags and environment variables to checked settings; the frame all programs run in. */
export * from './defineProgram.ts'
export * from './nameSetting.ts'
export * from './readSettings.ts'
export * from './setting.ts'
export * from './settingsError.ts'
