package io.kumquattrail.decision.route

import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServiceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * Holds everything that operators publish for forwarding, as one version.
 *
 * @property version number that operators give the configuration; a higher one replaces a lower one.
 * @property organisations organisation that holds each caller key; empty when callers need no key.
 */
data class RoutingConfiguration(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceName, ServiceDefinition>,
    val organisations: ImmutableMap<String, Organisation> = persistentMapOf(),
    val callerLimits: CallerLimits = CallerLimits(),
) {
    /** Looks up routes by host and path. */
    val routeTable: RouteTable = RouteTable(routes)
}

/** Says what may be repeated of the requests of a route. */
enum class RouteKind {
    /** Any number of runs is harmless. */
    SAFE,

    /** At most one run for each request of a caller. */
    UNSAFE,

    /** The response is a stream of numbered events. */
    STREAMING,
}

/**
 * Sends the requests for one host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout longest time that a request is kept waiting.
 * @property latencyTarget time to the response, or to the first event of a stream.
 * @property gapTarget longest pause between events of a stream that is still on time; `null` for other kinds.
 * @property priority rank of the route's requests; 0 is served first.
 * @property targets services with their shares of the requests.
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
    /** Pause between events up to which a stream is left as it is; `null` for other kinds. */
    val toleratedPause: Duration? = gapTarget?.let { it * TOLERATED_SHARE }

    /** Whether a request may be sent again after a server may have run it. */
    val repeatable: Boolean
        get() =
            when (kind) {
                RouteKind.SAFE -> true
                RouteKind.UNSAFE -> false
                RouteKind.STREAMING -> resumable
            }

    private companion object {
        /** Share of [gapTarget] that streams use up to which nothing is done; the rest is for prompts and bursts. */
        const val TOLERATED_SHARE = 0.5
    }
}

/** Gives [service] a share of a route's requests in proportion to [weight]. */
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
 * @property coldRequestsPerSecond requests a second that a cold server bears; `null` when it has no such limit.
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
 * Describes how a model engine spends its time.
 *
 * @property batchSlots requests that the engine writes at once.
 * @property memoryTokens tokens of context that fit into the engine's memory.
 * @property stepTime time of one token step without its requests.
 * @property stepTimePerRequest additional time of a step for each request that is writing.
 * @property promptTokensPerSecond speed at which prompts are read.
 * @property usualPromptTokens mean prompt length.
 * @property usualAnswerTokens mean answer length.
 * @property group shape of the groups that the engine's servers form; `null` when they work alone.
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
    /** Tells whether the engine can ever begin a request with [promptTokens]. */
    fun holds(promptTokens: Long): Boolean = promptTokens <= memoryTokens
}

/**
 * Describes the expert placement of a group of engines.
 *
 * @property layerSets sets of layers, each with a placement of its own.
 * @property experts experts of a set.
 * @property placementsPerRank experts that a rank holds at most, a set.
 * @property sparePlacements experts of a set that a rank can load for one change.
 * @property copyTime time in which a rank loads one expert.
 */
data class EngineGroupFigures(
    val layerSets: Int,
    val experts: Int,
    val placementsPerRank: Int,
    val sparePlacements: Int,
    val copyTime: Duration = Duration.ZERO,
)

/** An organisation with the rank of its requests, which goes before the rank of a route; `null` when it has none. */
data class Organisation(
    val name: OrganisationName,
    val priority: Int? = null,
)

/**
 * Bounds what a caller may send.
 *
 * @property headerBytes longest request head, in bytes.
 * @property bodyBytes longest request body, in bytes.
 * @property headerTimeout longest time from the first byte of a request head to its last.
 * @property idleTimeout longest time that a connection may stay idle.
 */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = Duration.parse("3s"),
    val idleTimeout: Duration = Duration.parse("15s"),
)
