import test from 'ava'
import { buildCausedError, HttpError, requestJson } from '../index.ts'

const TIMEOUT_MS = 2_000

test('an error has its class, its cause, and the messages of both', t => {
  const cause = Object.assign(new Error('read failed'), { code: 'ECONNRESET' })
  const error = buildCausedError(HttpError, 'POST failed.', buildCausedError(HttpError, 'GET failed.', cause))
  t.true(error instanceof HttpError)
  t.is(error.name, 'HttpError')
  t.is(error.message, 'read failed\nGET failed.\nPOST failed.')
  t.is((error.cause as Error).cause, cause)
  t.is(buildCausedError(HttpError, 'GET failed.', 'stopped').message, 'stopped\nGET failed.')
})

// Guards against callers of requestJson that cannot tell a refused connection from one without an answer.
test('a failed request has the error of its connection as the cause', async t => {
  const error = await t.throwsAsync(requestJson({ method: 'GET', url: 'http://127.0.0.1:1/', timeoutMs: TIMEOUT_MS }), { instanceOf: HttpError })
  t.is((error?.cause as NodeJS.ErrnoException).code, 'ECONNREFUSED')
})

// Guards against failed calls that take so much processor time that a VM which is cut off or overloaded falls further behind.
test('an error with causes takes little more processor time than its errors do', t => {
  const count = 2_000
  const measureMs = (build: () => unknown) => {
    for (let n = 0; n < count / 4; n++) build()
    const startedAt = process.cpuUsage()
    for (let n = 0; n < count; n++) build()
    const { user, system } = process.cpuUsage(startedAt)
    return (user + system) / 1_000
  }
  const aloneMs = measureMs(() => [new Error('no answer'), new HttpError('GET failed.'), new HttpError('Call failed.')])
  const causedMs = measureMs(() => buildCausedError(HttpError, 'Call failed.', buildCausedError(HttpError, 'GET failed.', new Error('no answer'))))
  t.true(causedMs < 2 * aloneMs, `${causedMs} ms, ${aloneMs} ms without causes`)
})
