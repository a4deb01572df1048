/** Lets the event loop read what has arrived behind a request, such as the close of a caller that has left while its request stood unread. */
export async function readArrivedCloses (): Promise<void> {
  // The close is read in the next poll phase, which begins after the first callback and ends before the second.
  await new Promise<void>(resolve => setImmediate(() => setImmediate(resolve)))
}
