import ModernError from 'modern-errors'

/** Thrown when a report file cannot be read or is not a load report. */
export const LoadError = ModernError.subclass('LoadError')
