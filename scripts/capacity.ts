import { writeFileSync } from 'node:fs'
import { readCapacityFigures } from './capacityFigures.ts'

const NODES = 400
const REQUESTS_PER_S = 13_000
const TOKENS_PER_S = 3_100_000
const LOCAL_ENDPOINTS = 460
const CPU_BUDGET = 0.016
const BYTES_BUDGET = 9_000
const MEMORY_BUDGET = 32 * 1024 * 1024
const READS_BUDGET = 2_000
const ORDERS_PER_S = 2_000
const US_PER_S = 1e6
const MB = 1024 * 1024

const { control, cost, placement, orders, fleet, snapshot, memory } = readCapacityFigures()
const full = control.rows.find(row => row.size.vms === NODES)!
const local = placement.byAll.filter(row => row.localEndpoints === LOCAL_ENDPOINTS).at(-1)!
const admission = cost.byOrganisations.at(-1)!
const busyOrders = orders.rates.find(rate => rate.ratePerS === ORDERS_PER_S)!.grouped
const wholeSnapshot = snapshot.rows.at(-1)!

const requestsPerNode = REQUESTS_PER_S / NODES
const tokensPerNode = TOKENS_PER_S / NODES
const requestUs = local.coldUs + admission.microseconds
const decisionShare = (requestsPerNode * requestUs + tokensPerNode * cost.machine.microsecondsPerToken) / US_PER_S
const controlShare = full.cpuShare + fleet.atSize.restCoreShare
const controlAddedBytes = full.nodeHeapBytes + control.memory.replicaBytes

const percent = (share: number) => `${(share * 100).toFixed(2)}%`
const round = (value: number) => Math.round(value).toLocaleString('en')
const judge = (value: number, budget: number) => value <= budget ? 'within' : '**over**'
const listParts = (parts: Record<string, number>, unit: string) => Object.entries(parts)
  .filter(([, value]) => value > 0)
  .sort((a, b) => b[1] - a[1])
  .map(([name, value]) => `| ${name} | ${round(value)} ${unit} |`)
  .join('\n')

const page = `---
sidebar_position: 11
---

# Capacity

Made by \`npm run capacity\` from what the bench commands wrote to \`docs/figures/\`; run them first to renew it. The size: 400 nodes in 15 data centres of 5 regions, 6,900 servers (${LOCAL_ENDPOINTS} a data centre), 13,000 requests/s, 3.1 million tokens/s, 2,500 organisations, 6,600 changes a day.

## Control, per node

Budget: ${percent(CPU_BUDGET)} of a core, 32 MB, ${round(BYTES_BUDGET)} B/s. \`npm run bench:control\` runs 400 nodes in one process with the real codecs and counts bytes as sent, headers included; the fleet's share is from the planner's bench.

| what | at full size | budget | |
|---|---|---|---|
| processor time: control ${percent(full.cpuShare)} + fleet at rest ${percent(fleet.atSize.restCoreShare)} | ${percent(controlShare)} | ${percent(CPU_BUDGET)} | ${judge(controlShare, CPU_BUDGET)} |
| the holder of a data centre's lease, planning: + ${percent(fleet.atSize.plannerCoreShare)} | ${percent(controlShare + fleet.atSize.plannerCoreShare)} | ${percent(CPU_BUDGET)} | ${judge(controlShare + fleet.atSize.plannerCoreShare, CPU_BUDGET)} |
| bytes sent, mean | ${round(full.bytesPerSecond)} B/s | ${round(BYTES_BUDGET)} B/s | ${judge(full.bytesPerSecond, BYTES_BUDGET)} |
| bytes sent, busiest node | ${round(full.maxNodeBytes)} B/s | ${round(BYTES_BUDGET)} B/s | ${judge(full.maxNodeBytes, BYTES_BUDGET)} |
| memory that control adds: state ${(full.nodeHeapBytes / MB).toFixed(1)} MB + resources ${(control.memory.replicaBytes / MB).toFixed(1)} MB | ${(controlAddedBytes / MB).toFixed(1)} MB | 32 MB | ${judge(controlAddedBytes, MEMORY_BUDGET)} |
| resident memory of the whole process at rest | ${(memory.controlKb / 1024).toFixed(0)} MB | 32 MB | ${judge(memory.controlKb * 1024, MEMORY_BUDGET)} |
| platform reads, all nodes: ${full.platformReadsPerSecond.toFixed(1)} + leases ${fleet.atSize.leaseReadsPerSecond} | ${(full.platformReadsPerSecond + fleet.atSize.leaseReadsPerSecond).toFixed(1)}/s | ${round(READS_BUDGET)}/s | ${judge(full.platformReadsPerSecond + fleet.atSize.leaseReadsPerSecond, READS_BUDGET)} |
| platform writes: leases ${fleet.atSize.leaseWritesPerSecond}/s + ${round(6_600)} changes a day | ${(fleet.atSize.leaseWritesPerSecond + 6_600 / 86_400).toFixed(1)}/s | several hundred/s | within |

The runtime alone (an idle process) has ${(memory.bareKb / 1024).toFixed(0)} MB resident, so no Node.js process can be within 32 MB; what control adds to its base is. To bring the whole process under it takes another runtime.

The busiest nodes are over in bytes: those that speak for their data centre hold the newest summary, and all others are answered from them ([membership](design/membership.md)). Spreading the answers over more nodes would bring them under. Slopes: ${control.slopes.bytesPerEndpointOfCentre.toFixed(1)} B/s and ${(control.slopes.cpuSharePerEndpointOfCentre * 100).toFixed(4)}% of a core for each endpoint of the data centre (shared by its nodes), ${control.slopes.bytesPerChangeADay.toFixed(3)} B/s for each change a day. At 100 nodes before the same endpoints both mean bytes and, at 50,000 changes a day, processor time are over: few nodes before many endpoints is the bad case.

Bytes to other processes by mechanism (\`router\` goes to the same VM and is not counted against the network):

| mechanism | a node |
|---|---|
${listParts(full.bytes, 'B/s')}

Of these, exchanges within the data centre (\`near\`):

| part | a node |
|---|---|
${listParts(full.nearBytes, 'B/s')}

Processor time of decisions and codecs by mechanism:

| mechanism | a node |
|---|---|
${listParts(full.cpuUs, 'µs/s')}

| mechanism | carries |
|---|---|
| near | digests and load reports gossiped within a data centre |
| far | summaries between data centres, by a few ranked nodes |
| push | revisions passed on as deltas down a tree |
| loads | load reports polled from endpoints, each by one node |
| platform | head revision, changes and VM list, by three ranked nodes a data centre |
| router | views and resources to the local router |
| tick | suspicion, ranking, what to do next |

## Router, per node

${requestsPerNode.toFixed(1)} requests/s and ${round(tokensPerNode)} tokens/s a node.

| decision | cost | command |
|---|---|---|
| placement of a new key over ${LOCAL_ENDPOINTS} local endpoints of ${round(local.endpoints)} | ${local.coldUs.toFixed(1)} µs (known key ${local.warmUs.toFixed(1)} µs) | \`npm run bench:cost\` |
| admission, 2,500 organisations, long queue | ${admission.microseconds.toFixed(1)} µs | \`npm run bench:cost\` |
| attempt machine | ${cost.machine.microsecondsPerToken.toFixed(2)} µs a token | \`npm run bench:cost\` |
| order, claim to outcome | ${orders.cost.durableOrderUs.toFixed(0)} µs | \`npm run bench:orders\` |

${requestsPerNode.toFixed(1)} × (${local.coldUs.toFixed(1)} + ${admission.microseconds.toFixed(1)}) µs + ${round(tokensPerNode)} × ${cost.machine.microsecondsPerToken.toFixed(2)} µs = **${percent(decisionShare)} of a core** for decisions. Sockets and JSON come on top and are not measured here.

Memory: ${(local.heldBytes / MB).toFixed(1)} MB placement state, ${round(admission.bytes)} B a waiting request, ${round(cost.machine.bytes)} B a running one; ${(memory.routerKb / 1024).toFixed(0)} MB resident at rest, of which the runtime is ${(memory.bareKb / 1024).toFixed(0)} MB.

A whole snapshot at ${round(wholeSnapshot.endpoints)} endpoints costs ${wholeSnapshot.wholeMs.toFixed(0)} ms, which a router pays once per revision; views between revisions cost the table's ${wholeSnapshot.tableMs.toFixed(1)} ms and the parsing of the own data centre's views.

## Orders

At ${round(ORDERS_PER_S)} orders/s over 8 routers and ${orders.storeWritesPerS} writes/s: ${busyOrders.ordersPerWrite.toFixed(1)} orders a write, ${busyOrders.addedP50Ms} ms added in the median, ${busyOrders.addedP99Ms} ms at the 99th percentile (\`npm run bench:orders\`). Groups gather in one VM only: with 400 VMs each has ${(orders.storeWritesPerS / NODES).toFixed(2)} writes/s of the same store, and a VM that sees less than one order in that time writes it alone. **At full size this is over the store's writes beyond about ${round(orders.storeWritesPerS / 2)} orders/s** (two writes an order when nothing gathers). What would bring it under: handing claims to a few VMs of the data centre that write for all.

Memory: ${orders.cost.unusedTicketBytes.toFixed(0)} B an unused ticket, ${round(orders.cost.ranTicketBytes)} B one that ran and is not yet in the tables.

## Admin

Stateless: ${(memory.adminKb / 1024).toFixed(0)} MB resident at rest, of which the runtime is ${(memory.bareKb / 1024).toFixed(0)} MB. 6,600 changes a day are ${(6_600 / 86_400).toFixed(2)}/s, each a read of all resources and one transaction.

## Not measured

Real networks and computers: all of this ran on one, nodes in one process. Router sockets at ${requestsPerNode.toFixed(1)} requests/s. Regions that lose each other while 6,600 changes a day arrive.
`

writeFileSync(new URL('../docs/CAPACITY.md', import.meta.url), page)
