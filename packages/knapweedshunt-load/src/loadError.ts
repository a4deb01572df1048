import ModernError from 'modern-errors'

/** The load tool could not do what was asked. */
export const LoadError = ModernError.subclass('LoadError')
