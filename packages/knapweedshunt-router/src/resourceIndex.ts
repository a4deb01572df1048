import type { EndpointPoolSpec, OrganisationName, PriorityClassSpec, ResourceOf, ResourceSnapshot } from 'knapweedshunt-types'

/** Resources indexed for the data path; rebuilt for each revision. */
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
    this.#pathRoutes.sort((a, b) => getPathPrefix(b).length - getPathPrefix(a).length)
  }

  /** Finds the organisation of an access key by the key's SHA-256 in hexadecimal. */
  findOrganisation (keyHash: string): OrganisationName | undefined {
    return this.#organisationByKeyHash.get(keyHash)
  }

  /** Finds a pool by name. */
  findPool (name: string): EndpointPoolSpec | undefined {
    return this.#pools.get(name)
  }

  /** Finds a priority class by name. */
  findClass (name: string): PriorityClassSpec | undefined {
    return this.#classes.get(name)
  }

  /** Finds the route of a model. */
  findModelRoute (model: string): ResourceOf<'Route'> | undefined {
    return this.#modelRoutes.get(model)
  }

  /** Finds the route with the longest matching path prefix. */
  findPathRoute (path: string): ResourceOf<'Route'> | undefined {
    return this.#pathRoutes.find(route => path.startsWith(getPathPrefix(route)))
  }

  #addRoute (route: ResourceOf<'Route'>): void {
    if (route.spec.match.type === 'model') this.#modelRoutes.set(route.spec.match.model, route)
    else this.#pathRoutes.push(route)
  }
}

function getPathPrefix (route: ResourceOf<'Route'>): string {
  return route.spec.match.type === 'path' ? route.spec.match.prefix : ''
}
