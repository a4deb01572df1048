import type { MembershipOptions } from 'knapweedshunt-membership'
import type { Incarnation, VmView } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import type { NodeOptions } from './nodeOptions.ts'

/** Constructor arguments of {@link ControlNode}. */
export interface NodeSetup {
  self: VmView
  rng: Rng
  createIncarnation: () => Incarnation
  /** Control URLs of peers that are contacted while the platform does not answer. */
  seedUrls: string[]
  options?: NodeOptions
  membership?: MembershipOptions
}
