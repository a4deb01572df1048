import { Engine, KvStore } from './engines.mjs'
import { Machine } from './machines.mjs'
import { Store } from './store.mjs'

export const MODEL = 'm0'
export const SERVICE = 'lm'
export const HOST = 'lm.example'
export const TARGET = '/chat/1'

/** A small deployment of model servers: the platform's store, the servers, a store of kept KV cache, and machines of the system. */
export class Deployment {
  store = new Store()
  kvStore = new KvStore()
  engines = []
  machines = []
  /** Routes and services of a config besides those of the model servers. */
  routes = []
  services = []
  #configVersion = 0

  /** `tenants` as in a config. */
  async start ({ tenants, engineCount = 3, machineCount = 2 }) {
    await this.store.start()
    await this.kvStore.start()
    const caches = address => address === this.kvStore.address ? this.kvStore.cache : this.engines.find(engine => engine.address === address)?.cache
    for (let n = 1; n <= engineCount; n++) {
      const engine = new Engine({ id: `i-${n}`, service: SERVICE, model: MODEL, store: this.store, findCache: caches })
      this.engines.push(engine)
      await engine.start()
    }
    await this.addServices()
    this.putConfig(tenants)
    this.putVersion(1)
    for (let n = 1; n <= machineCount; n++) this.machines.push(await Machine.start(`front-${n}`, this.store.address))
  }

  /** Starts servers of other services before the config is written. */
  async addServices () {}

  putConfig (tenants) {
    const version = this.#configVersion += 3
    this.store.put('op', 'config', JSON.stringify({
      version,
      routes: [{ name: 'r-chat', host: HOST, prefix: '/chat/', kind: 'streaming', timeout_ms: 6_000, target_latency_ms: 600, priority: 1, service: SERVICE, max_attempts: 2, public: false, sticky: true, resumable: true, gap_aim_ms: 400 }, ...this.routes],
      services: [
        { name: SERVICE, health_path: '/health', max_conns: 370, protocol: 'h1', tls: false, engine: { slots: 64, kv_capacity: 115_971, kv_token_bytes: 327_680, link_mbps: 550_000, max_in_flight: 12, models: [{ name: MODEL }] } },
        { name: 'keep', kv_store_addr: this.kvStore.address, zone: 'z-a', kv_capacity: 1_190_423, link_mbps: 840_000, max_in_flight: 12 },
        ...this.services
      ],
      limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
      tenants
    }))
  }

  putVersion (version) {
    this.store.put('op', `version/${MODEL}`, JSON.stringify({ model: MODEL, version }))
  }

  listRuns () {
    return this.engines.flatMap(engine => engine.runs).sort((a, b) => a.atMs - b.atMs)
  }

  async stop () {
    await Promise.all(this.machines.map(machine => machine.stop()))
    for (const engine of this.engines) engine.close()
    this.kvStore.close()
    this.store.close()
  }
}
