/** Measures the latency and cost of orders: `npm run bench:orders`. Writes docs/figures/orders.json. */
import fs from 'node:fs'
import { measureCost } from './measureCost.ts'
import { measureRate } from './measureRate.ts'
import type { RateFigures } from './measureRate.ts'

const RATES_PER_S = [1, 10, 50, 100, 200, 500, 1_000, 2_000]
const FIGURES_DIR = 'docs/figures'

const rates: Array<{ ratePerS: number, grouped: RateFigures, oneByOne: RateFigures }> = []
for (const ratePerS of RATES_PER_S) {
  const grouped = await measureRate(ratePerS, 256)
  const oneByOne = await measureRate(ratePerS, 1)
  rates.push({ ratePerS, grouped, oneByOne })
  console.log(JSON.stringify(rates.at(-1)))
}
const cost = await measureCost()
console.log(JSON.stringify(cost))
fs.mkdirSync(FIGURES_DIR, { recursive: true })
fs.writeFileSync(`${FIGURES_DIR}/orders.json`, JSON.stringify({ storeWritesPerS: 300, routers: 8, rates, cost }, null, 2) + '\n')
