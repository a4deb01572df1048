import ModernError from 'modern-errors'

/** The connection to an endpoint, or to another VM, ended before a response was complete. */
export const EndpointConnectionError = ModernError.subclass('EndpointConnectionError')
