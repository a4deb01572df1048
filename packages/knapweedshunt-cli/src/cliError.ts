import ModernError from 'modern-errors'

/** A command failed; the message is printed to the operator. */
export const CliError = ModernError.subclass('CliError')
