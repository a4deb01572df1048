import ModernError from 'modern-errors'

/** A setting is unknown, missing or wrong; the message names flag, value and how to mend it. */
export const SettingsError = ModernError.subclass('SettingsError')
