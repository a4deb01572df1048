import { spawn } from 'node:child_process'
import fs from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { PlatformStore } from './platformStore.mjs'
import { sendJson, sleep } from './http.mjs'

const REPOSITORY = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..')

/** The command of the deploy file. */
const COMMAND = ['--max-semi-space-size=2', 'target/knapweedshunt-node.mjs', '--metrics-port=9464']

/** Host and key of all requests. */
export const HOST = 'hotel.example'
export const KEY = 'key-of-tenant-a'

/** Bounds of a small deployment. */
const BOUNDS = { seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, downgrade_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: true, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 56, recovery_s: 12, transit_ms: 120, retry_after_s: 10, require_fencing: false, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 8000, version_all_ms: 11000 }

/** Whether the run is to have its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** A store, servers and VMs on loopback addresses. Each VM is a process of its own, started as the deploy file says. */
export class Deployment {
  store = new PlatformStore()
  vms = []
  #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #servers = new Set()
  // Addresses of this run: the first is the store's, the others are those of VMs and servers.
  #network = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
  #hostCount = 0
  #record = fs.createWriteStream(process.env.RECORD ?? 'record.txt')
  #startedAtMs = performance.now()

  constructor () {
    process.once('SIGTERM', () => this.finish(2, 'the run took too long'))
    process.once('uncaughtException', error => this.finish(2, error.stack))
  }

  /** An address of this run that nothing else uses. */
  newHost () {
    return `${this.#network}.${++this.#hostCount}`
  }

  /** Writes a line of the record. */
  note (text) {
    this.#record.write(this.#buildLine(text))
  }

  /** Writes a line of the record, and shows it. */
  log (text) {
    this.note(text)
    process.stdout.write(this.#buildLine(text))
  }

  #buildLine (text) {
    return `${((performance.now() - this.#startedAtMs) / 1000).toFixed(3)} s  ${text}\n`
  }

  async start ({ routes, services, limits = {}, version = 1 }) {
    await this.store.start(this.newHost())
    this.putConfig({ routes, services, limits, version })
  }

  /** Writes a configuration as the operator does. */
  putConfig ({ routes, services, limits = {}, version, tenants = [{ name: 'tenant-a', api_keys: [KEY], priority: 1, isolated: true }] }) {
    const route = { host: HOST, timeout_ms: 15_000, target_latency_ms: 500, priority: 1, max_attempts: 2, public: false, sticky: false, resumable: false }
    this.store.put('op', 'config', {
      version,
      routes: routes.map(one => ({ ...route, ...one })),
      services: services.map(one => ({ health_path: '/health', max_conns: 110, protocol: 'h1', tls: false, ...one })),
      limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, ...limits },
      tenants
    })
  }

  /** Starts a server and lists it in the store; `serve` answers the requests of callers. Returns how it ends and starts again under its id. */
  async addServer (id, service, serve, { zone = 'zone-a', ...entry } = {}) {
    const host = this.newHost()
    const row = { service, address: '', zone, version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, ...entry }
    const life = { server: null, port: 0, seq: 0 }
    const beat = () => { if (life.server !== null) this.store.put('servers', id, { ...row, seq: ++life.seq }) }
    const start = async () => {
      Object.assign(row, { born: Date.now() })
      const server = http.createServer({ keepAlive: true, keepAliveTimeout: 5_000 }, (request, response) => this.#serveOne(id, row, serve, request, response))
      await new Promise(resolve => server.listen(life.port, host, resolve))
      server.unref()
      this.#servers.add(server)
      Object.assign(life, { server, port: server.address().port, seq: 0 })
      row.address = `${host}:${life.port}`
      beat()
    }
    await start()
    setInterval(beat, 1_200).unref()
    return {
      /** Ends all channels and starts again after a while, in milliseconds, under the same id, with another software version. */
      restart: async (version, downMs) => {
        this.log(`${id} ends`)
        const { server } = life
        life.server = null
        this.#servers.delete(server)
        server.close()
        server.closeAllConnections()
        await new Promise(resolve => setTimeout(resolve, downMs))
        row.version = version
        await start()
        this.log(`${id} has started again as ${version}`)
      }
    }
  }

  #serveOne (id, { born, version }, serve, request, response) {
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== id) return response.writeHead(421, { 'Instance-Id': id, 'Not-Executed': '1', 'Content-Length': 0 }).end()
    if (request.url === '/-/report') return sendJson(response, 200, { stage: 'both', models: [], busy: false, seq: 0, queued: 0, running: 0, kv_used: 0, kv_total: 0, handles: 0, born })
    if (request.url === '/health') return response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end()
    serve(request, response, { id, version })
  }

  /** Starts a VM; `front` of the result is where callers connect. */
  async addVm (name, { zone = 'zone-a', bounds = {}, storeAddress = this.store.address } = {}) {
    const ip = this.newHost()
    const [front, ready, internal] = await findFreePorts(ip, 3)
    const file = path.join(this.#directory, `${name}.json`)
    fs.writeFileSync(file, JSON.stringify({
      node: name,
      role: 'node',
      machine_class: 'front',
      serves: ['front'],
      ip,
      zone,
      region: 'region-a',
      zones: { 'zone-a': 'region-a', 'zone-b': 'region-a' },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      internal_ports: [internal, internal],
      seeds: [],
      bootstrap: true,
      in_tolerance: false,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      bounds: { ...BOUNDS, ...bounds },
      platform: { address: storeAddress, form: 'table', writes_per_s: 400, reads_per_s: 2000, tx_ms: 3, part_writes_s: 300, row_bytes: 65_536, across: true, history_s: 20, blob_bytes: 8_388_608, blob_ms: 25, blob_mb_s: 80 }
    }))
    const vm = { name, ip, front: `${ip}:${front}`, ready: `${ip}:${ready}`, file, process: null, logFile: path.join(this.#directory, `${name}.log`), exit: null }
    this.vms.push(vm)
    this.startProcess(vm)
    return vm
  }

  /** Starts the process of a VM (again). */
  startProcess (vm) {
    const log = fs.openSync(vm.logFile, 'a')
    vm.exit = null
    vm.process = spawn(process.execPath, COMMAND, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, KNAPWEEDSHUNT_SETTINGS: vm.file, ROARR_LOG: 'true' }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    const child = vm.process
    child.once('exit', (code, signal) => { if (vm.process === child) vm.exit = signal ?? code })
  }

  async isReady (vm) {
    return await new Promise(resolve => {
      const request = http.get(`http://${vm.ready}/-/ready`, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.once('error', () => resolve(false))
      request.setTimeout(1_000, () => request.destroy())
    })
  }

  /** Waits until all VMs are ready; exits with 2 if that takes too long. */
  async waitUntilReady () {
    const untilMs = performance.now() + 20_000
    for (const vm of this.vms) {
      while (!await this.isReady(vm)) {
        if (performance.now() > untilMs) await this.finish(2, `${vm.name} does not become ready`)
        await sleep(100)
      }
    }
    await sleep(1_000)
  }

  /** Sends a signal to the process of a VM. */
  signal (vm, signal) {
    this.log(`${signal} to ${vm.name}`)
    vm.process.kill(signal)
  }

  /** Lines that a VM logged. */
  readLog (vm) {
    return fs.readFileSync(vm.logFile, 'utf8')
  }

  /** Ends all processes, writes the verdict and exits with the code. */
  async finish (code, verdict) {
    this.log(`${['HELD', 'BROKEN', 'NOT RUN'][code]}: ${verdict}`)
    for (const { process: child } of this.vms) {
      if (child.exitCode !== null || child.signalCode !== null) continue
      const ended = new Promise(resolve => child.once('exit', resolve))
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }
    this.store.stop()
    for (const server of this.#servers) server.closeAllConnections()
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.#directory, { recursive: true, force: true })
    await new Promise(resolve => this.#record.end(resolve))
    process.exit(code)
  }
}

async function findFreePorts (host, count) {
  const servers = Array.from({ length: count }, () => net.createServer())
  await Promise.all(servers.map(server => new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
