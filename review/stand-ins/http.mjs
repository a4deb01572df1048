/** Reads a whole body as text. */
export async function readBody (message) {
  const chunks = []
  for await (const chunk of message) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** Sends a JSON body. */
export function sendJson (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
}

/** Waits for a time, in milliseconds. */
export function sleep (durationMs) {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
