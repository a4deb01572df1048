import type { EndpointPoolSpec, OrganisationName, PriorityClassSpec, ResourceOf, ResourceSnapshot } from 'knapweedshunt-types'

/** Resources arranged for look-up by the data path; built anew for each revision. */
export class ResourceIndex {
  readonly revision: number
  readonly #organisationByKeyHash = new Map<string, OrganisationName>()
  readonly #pools = new Map<string, EndpointPoolSpec>()
  readonly #classes = new Map<string, PriorityClassSpec>()
  readonly #modelRoutes = new Map<string, ResourceOf<'Route'>>()
  readonly #pathRoutes: Array<ResourceOf<'Route'>> = []

  constructor (snapshot: ResourceSnapshot) {
    this.revision = snapshot.revision
    for (const resource of snapshot.resources) {
      if (resource.kind === 'AccessKey') this.#organisationByKeyHash.set(resource.spec.keyHash, resource.spec.organisation)
      if (resource.kind === 'EndpointPool') this.#pools.set(resource.name, resource.spec)
      if (resource.kind === 'PriorityClass') this.#classes.set(resource.name, resource.spec)
      if (resource.kind === 'Route') this.#addRoute(resource)
    }
    this.#pathRoutes.sort((a, b) => readPrefix(b).length - readPrefix(a).length)
  }

  /** Organisation of an access key's SHA-256. */
  findOrganisation (keyHash: string): OrganisationName | undefined {
    return this.#organisationByKeyHash.get(keyHash)
  }

  /** Pool by name. */
  findPool (name: string): EndpointPoolSpec | undefined {
    return this.#pools.get(name)
  }

  /** Priority class by name. */
  findClass (name: string): PriorityClassSpec | undefined {
    return this.#classes.get(name)
  }

  /** Route of a model. */
  findModelRoute (model: string): ResourceOf<'Route'> | undefined {
    return this.#modelRoutes.get(model)
  }

  /** Route with the longest prefix of the path. */
  findPathRoute (path: string): ResourceOf<'Route'> | undefined {
    return this.#pathRoutes.find(route => path.startsWith(readPrefix(route)))
  }

  #addRoute (route: ResourceOf<'Route'>): void {
    if (route.spec.match.type === 'model') this.#modelRoutes.set(route.spec.match.model, route)
    else this.#pathRoutes.push(route)
  }
}

function readPrefix (route: ResourceOf<'Route'>): string {
  return route.spec.match.type === 'path' ? route.spec.match.prefix : ''
}
