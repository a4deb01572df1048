import type { EndpointName } from 'knapweedshunt-types'

/** What is expected of an endpoint at present. */
export interface EndpointForecast {
  /** Run time relative to that of an endpoint of weight 1. */
  runTime: number
  /** Mean wait at the endpoints of its pool, in prompt tokens of an endpoint of weight 1. */
  meanWaitTokens: number
  /** Least wait that requests without an answer show, in prompt tokens of an endpoint of weight 1. */
  minWaitTokens: number
}

/** Tells more about endpoints than their weights and load reports. */
export interface EndpointForecasts {
  /** Returns null if no more is known. */
  find (endpoint: EndpointName, nowMs: number): EndpointForecast | null
}

/** For endpoints of which nothing but weights and load reports is known. */
export const NO_FORECASTS: EndpointForecasts = { find: () => null }
