package io.kumquattrail.decision.route

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServiceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * One version of all that operators publish for forwarding.
 *
 * @property version number that operators give the configuration; a higher one replaces a lower one.
 * @property organisations organisation to which each caller key belongs.
 * @property requiresKeys whether callers need a key on routes that are not anonymous. They still do when the last key has
 *   been withdrawn, so that [organisations] is empty.
 */
data class RoutingConfiguration(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceName, ServiceDefinition>,
    val organisations: ImmutableMap<String, Organisation> = persistentMapOf(),
    val requiresKeys: Boolean = organisations.isNotEmpty(),
    val callerLimits: CallerLimits = CallerLimits(),
) {
    /** Looks up routes by host and path. */
    val routeTable: RouteTable = RouteTable(routes)
}

/** Says how often the requests of a route may run. */
enum class RouteKind {
    /** A request may run any number of times. */
    SAFE,

    /** Each request may run at most once. */
    UNSAFE,

    /** The response is a stream of numbered events; a request may run again only if its route is resumable. */
    STREAMING,
}

/**
 * Distributes the requests for one host and path prefix over services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout longest time from the arrival of a request to its deadline.
 * @property latencyTarget time to the response, or to the first event of a stream.
 * @property gapTarget longest pause between the events of a stream that meets its target; `null` for other kinds.
 * @property priority priority of the route's requests; 0 is served first, higher numbers later.
 * @property targets services with the weights by which the requests are distributed.
 * @property maximumAttempts largest number of servers on which one request may run.
 * @property anonymous whether callers need no key.
 * @property resumable whether an interrupted stream may continue on another server.
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val latencyTarget: Duration,
    val gapTarget: Duration? = null,
    val priority: Int = 0,
    val targets: ImmutableList<RouteTarget>,
    val maximumAttempts: Int = 1,
    val anonymous: Boolean = false,
    val resumable: Boolean = false,
) {
    /** Pause between events up to which a stream does not count as slow; `null` for other kinds. */
    val toleratedPause: Duration? = gapTarget?.let { it * TOLERATED_FRACTION }

    /** Whether a request may be sent again after a server may have run it. */
    val repeatable: Boolean
        get() =
            when (kind) {
                RouteKind.SAFE -> true
                RouteKind.UNSAFE -> false
                RouteKind.STREAMING -> resumable
            }

    private companion object {
        /** Fraction of [gapTarget] up to which a pause is not slow; the remainder is for prompts and bursts. */
        const val TOLERATED_FRACTION = 0.5
    }
}

/** A service that gets a part of a route's requests in proportion to [weight]. */
data class RouteTarget(
    val service: ServiceName,
    val weight: Double = 1.0,
)

/**
 * Describes a service.
 *
 * @property healthPath path at which a backend server reports its health.
 * @property maximumConnections connections that one server accepts from all callers together.
 * @property coldStart time for which a server that has just started is cold.
 * @property coldRequestsPerSecond requests per second that a cold server supports; `null` when there is no such limit.
 * @property engine the model engine's published figures; `null` for a plain service.
 */
data class ServiceDefinition(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldStart: Duration = Duration.ZERO,
    val coldRequestsPerSecond: Double? = null,
    val engine: EngineFigures? = null,
)

/**
 * Performance figures of a model engine.
 *
 * @property batchSlots requests for which the engine writes tokens at the same time.
 * @property memoryTokens context tokens that fit into the engine's memory.
 * @property stepTime fixed time of a token step, without its requests.
 * @property stepTimePerRequest additional time of a step for each request that is writing tokens.
 * @property promptTokensPerSecond prompt tokens that the engine reads per second.
 * @property usualPromptTokens mean prompt length.
 * @property usualAnswerTokens mean response length.
 * @property group shape of the groups that the engine's servers form; `null` when each server works alone.
 */
data class EngineFigures(
    val batchSlots: Int,
    val memoryTokens: Long,
    val stepTime: Duration,
    val stepTimePerRequest: Duration,
    val promptTokensPerSecond: Double,
    val usualPromptTokens: Int,
    val usualAnswerTokens: Int,
    val group: EngineGroupFigures? = null,
) {
    /** Returns whether a prompt of [promptTokens] tokens fits into the engine's memory. */
    fun fitsInMemory(promptTokens: Long): Boolean = promptTokens <= memoryTokens
}

/**
 * Bounds of the expert placement in a group of engines.
 *
 * @property layerSets sets of layers, each with a separate placement.
 * @property experts experts per set.
 * @property placementsPerRank experts per set that a rank holds at most.
 * @property sparePlacements experts per set that a rank can load for one change of the expert map.
 * @property copyTime time in which a rank loads one expert; zero if the engine does not publish it.
 */
data class EngineGroupFigures(
    val layerSets: Int,
    val experts: Int,
    val placementsPerRank: Int,
    val sparePlacements: Int,
    val copyTime: Duration = Duration.ZERO,
)

/** An organisation. Its [priority], if not `null`, overrides the priority of a route. */
data class Organisation(
    val name: OrganisationName,
    val priority: Int? = null,
)

/**
 * Limits on the connections and requests of callers.
 *
 * @property headerBytes longest request head, in bytes.
 * @property bodyBytes longest request body, in bytes.
 * @property headerTimeout longest time from the first byte of a request head to its last.
 * @property idleTimeout longest time for which a connection may be idle.
 */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = Duration.parse("3s"),
    val idleTimeout: Duration = Duration.parse("15s"),
)
