import ModernError from 'modern-errors'

/** Thrown for an invalid placement option. */
export const PlacementError = ModernError.subclass('PlacementError')
