import ModernError from 'modern-errors'

/** A setting is unknown, missing or invalid; the message gives the flag, the value unless it is secret, and what is expected. */
export const SettingsError = ModernError.subclass('SettingsError')
