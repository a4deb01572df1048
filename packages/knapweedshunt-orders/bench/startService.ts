import { MemoryPlatform } from 'knapweedshunt-fakes'
import { DEFAULT_ORDER_OPTIONS, ORDER_TRANSITION_TABLE, OrderService } from 'knapweedshunt-orders'
import type { OrderDispatcher } from 'knapweedshunt-orders'
import { DEFAULT_GUARDED_PLATFORM_OPTIONS, GuardedPlatform } from 'knapweedshunt-platform'

/** Settings of a measured service. */
export interface BenchServiceOptions {
  memory: MemoryPlatform
  incarnation: string
  maxChanges: number
  writesPerS: number
}

/** Starts one order service on the given tables, without peers. */
export function startService ({ memory, incarnation, maxChanges, writesPerS }: BenchServiceOptions): OrderService {
  const platform = new GuardedPlatform(memory, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, writes: { ratePerS: writesPerS, burst: 10 } })
  const peers = { sendHandover: async () => false, findTicket: async () => null }
  const bounds = { ...DEFAULT_ORDER_OPTIONS, group: { maxChanges, maxInFlight: 1 } }
  return new OrderService({ incarnation, getPeerUrl: () => 'http://127.0.0.1:1', platform, sharedKey: 'shared', peers, bounds, table: ORDER_TRANSITION_TABLE })
}

/** Creates a dispatcher to an endpoint that answers at once. `onSend` is called when an attempt is sent. */
export function createDispatcher (onSend: () => void): OrderDispatcher {
  return {
    send: (attempt, _again, emit) => {
      onSend()
      emit({ type: 'placed', attempt, canResend: false })
      queueMicrotask(() => emit({ type: 'answered', attempt, answer: { status: 200, contentType: 'application/json', body: '{"robots":1,"room":12}' } }))
    },
    cancel: () => {}
  }
}
