package io.kumquattrail.decision.route

import kotlin.time.Duration

/** Decision whether a request may be forwarded. */
sealed interface AccessDecision {
    /** The request is forwarded on [route] for [organisation], which is `null` if no key is needed. */
    data class Allowed(
        val route: Route,
        val organisation: Organisation?,
    ) : AccessDecision

    /** No route matches the host and path. */
    data object NoRoute : AccessDecision

    /** The request has no key, or one that belongs to no organisation. */
    data object UnknownKey : AccessDecision

    /** The key may have been revoked, because the configuration was last confirmed [age] ago. */
    data class KeysOutdated(
        val age: Duration,
    ) : AccessDecision
}

/**
 * Decides on access from the configuration in effect and the time since it was confirmed to be the newest.
 *
 * A revoked key must stop working in all processes within a time limit, also in processes that cannot reach the
 * configuration service. A process whose configuration was last confirmed longer ago than [keyTrust] therefore refuses
 * requests that need a key.
 *
 * @property keyTrust time after a confirmation for which the keys of the configuration are accepted.
 */
class AccessPolicy(
    private val keyTrust: Duration,
) {
    /** Decides on a request for [host] and [path] with [key], using a [configuration] that was confirmed [age] ago. */
    fun decide(
        configuration: RoutingConfiguration,
        age: Duration,
        host: String,
        path: String,
        key: String?,
    ): AccessDecision {
        val route = configuration.routeTable.find(host = host, path = path) ?: return AccessDecision.NoRoute
        if (route.anonymous || !configuration.requiresKeys) {
            return AccessDecision.Allowed(route = route, organisation = null)
        }
        val organisation = key?.let { configuration.organisations[it] } ?: return AccessDecision.UnknownKey
        return if (age > keyTrust) {
            AccessDecision.KeysOutdated(age)
        } else {
            AccessDecision.Allowed(route = route, organisation = organisation)
        }
    }
}
