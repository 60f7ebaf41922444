package io.kumquattrail.decision.route

/** Finds the route of a request: among the routes of its host, the one with the longest prefix of its path. */
class RouteTable(
    routes: List<Route>,
) {
    private val byHost: Map<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route for [host] and [path], or `null`. A port in [host] is ignored; so is a query in [path]. */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val pathOnly = path.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.firstOrNull { pathOnly.startsWith(it.pathPrefix) }
    }
}
