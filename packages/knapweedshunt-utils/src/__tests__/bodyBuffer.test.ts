import fc from 'fast-check'
import test from 'ava'
import { BodyBuffer } from '../bodyBuffer.ts'

const BODY = Buffer.from(Array.from({ length: 100_000 }, (_, n) => n % 251))

// Guards against a body that takes many times its size because it comes in small chunks, or in small parts of large buffers.
test('a body keeps its bytes and takes little more than its size, however it is cut', t => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.integer({ min: 1, max: 9 }), fc.integer({ min: 1, max: 20_000 })), { minLength: 1, maxLength: 40 }), sizes => {
    const buffer = new BodyBuffer()
    let end = 0
    for (const size of sizes) {
      const start = end
      end = Math.min(BODY.length, end + size)
      if (end > start) buffer.add(BODY.subarray(start, end))
    }
    return buffer.join().equals(BODY.subarray(0, end)) && buffer.length === end && buffer.capacity <= 2 * end + 16 * 1024 + 1_024
  }), { seed: 61 })
  const single = new BodyBuffer()
  for (let n = 0; n < BODY.length; n++) single.add(BODY.subarray(n, n + 1))
  t.true(single.join().equals(BODY))
  t.true(single.capacity <= BODY.length + 16 * 1024)
  t.true(single.list().length < 20)
})
