/** What is known of the endpoint that began a stream. */
export type StreamOrigin =
  | { type: 'known', softwareVersion: string }
  /** Several software versions may have begun it. */
  | { type: 'unknown' }
