import ModernError from 'modern-errors'

/** Error of the placement. */
export const PlacementError = ModernError.subclass('PlacementError')
