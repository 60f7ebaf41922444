package io.kumquattrail.decision.route

import kotlin.time.Duration

/** Decides whether a request may be forwarded. */
sealed interface AccessDecision {
    /** The request goes to [route] on behalf of [organisation], which is `null` for a caller without key. */
    data class Allowed(
        val route: Route,
        val organisation: Organisation?,
    ) : AccessDecision

    /** No route serves the host and path. */
    data object NoRoute : AccessDecision

    /** The request has no key, or one that no organisation holds. */
    data object UnknownKey : AccessDecision

    /** The process cannot know whether the key was revoked, because its configuration is [age] old. */
    data class KeysOutdated(
        val age: Duration,
    ) : AccessDecision
}

/**
 * Decides on access from the configuration in effect and the time since it was confirmed to be the newest.
 *
 * A revoked key must stop working everywhere within a bound, also in processes that are cut off from the configuration
 * service. A process whose configuration was confirmed longer ago than [keyTrust] therefore refuses requests that need
 * a key.
 *
 * @property keyTrust time for which a confirmed configuration is good for checking keys.
 */
class AccessPolicy(
    private val keyTrust: Duration,
) {
    /** Decides on a request for [host] and [path] with [key], by a [configuration] confirmed [age] ago. */
    fun decide(
        configuration: RoutingConfiguration,
        age: Duration,
        host: String,
        path: String,
        key: String?,
    ): AccessDecision {
        val route = configuration.routeTable.find(host = host, path = path) ?: return AccessDecision.NoRoute
        if (route.anonymous || configuration.organisations.isEmpty()) {
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
