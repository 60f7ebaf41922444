package io.kumquattrail.decision.route

/** Finds the route of a request: the one with the longest matching path prefix among the routes of its host. */
class RouteTable(
    routes: List<Route>,
) {
    private val byHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route for [host] and [path], or `null`. A port in [host] and a query in [path] are ignored. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val pathOnly = path.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.firstOrNull { pathOnly.startsWith(it.pathPrefix) }
    }
}
