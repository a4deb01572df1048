import ModernError from 'modern-errors'

/** A command failed; the message says why and what to do. */
export const CliError = ModernError.subclass('CliError')
