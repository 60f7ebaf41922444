package io.kumquattrail.forward.peer

import io.kumquattrail.decision.expert.replica.MapKeeperCandidate
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.peer.PeerTable
import io.kumquattrail.decision.route.RoutingConfiguration
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.http.CallResult
import io.kumquattrail.forward.http.CallerExchange
import io.kumquattrail.forward.http.HttpCaller
import io.kumquattrail.forward.http.HttpMessage
import io.kumquattrail.forward.http.HttpReply
import io.kumquattrail.forward.http.NetworkAddress
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val EXCHANGE_PATH = "/exchange"
private const val CONFIGURATION_PATH = "/configuration"

/**
 * Exchanges state with the other gateways: who lives, requests in progress, and the configuration when the service that
 * publishes it is out of reach.
 *
 * @param seeds addresses of gateways to begin with; some may be gone.
 * @property decodeConfiguration reads a configuration document; returns `null` when it is not valid.
 */
class PeerExchange(
    private val state: GatewayState,
    private val caller: HttpCaller,
    seeds: List<ProcessName>,
    private val decodeConfiguration: (ByteArray) -> RoutingConfiguration?,
    private val random: Random = Random.Default,
) {
    private val mapKeepers = HashMap<ProcessName, MapKeeperCandidate>()
    private val table = PeerTable(own = state.process, seeds = seeds, interval = INTERVAL)

    /** The document of the configuration in effect, as published; `null` until one is known. */
    var configurationDocument: ByteArray? = null

    /** Processes that were heard from a moment ago, without this one. */
    fun alive(now: MonotonicTime): List<ProcessName> = table.alive(now)

    /** Processes that were heard from a moment ago and can serve requests, without this one. */
    fun mapKeeperCandidates(now: MonotonicTime): List<MapKeeperCandidate> = alive(now).mapNotNull(mapKeepers::get)

    /** Exchanges state with peers until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            val asked = exchangeRound(scope)
            withTimeoutOrNull(FIRST_ROUND) { asked.joinAll() }
            state.peersAsked = true
            while (isActive) {
                delay(INTERVAL)
                exchangeRound(scope)
            }
        }
    }

    /** Begins to exchange state with the peers of one round, also between the rounds that [start] makes. */
    fun exchangeRound(scope: CoroutineScope): List<Job> =
        table.partners(ProcessClock.monotonic(), random).map { peer -> scope.launch { exchangeWith(peer) } }

    /** Takes in which addresses to begin with when no peer is known. */
    fun reseed(seeds: List<ProcessName>) {
        table.seeds = seeds
    }

    /** Answers a request of a peer. */
    fun handle(exchange: CallerExchange) {
        when (exchange.request.target) {
            EXCHANGE_PATH -> {
                val message =
                    message(exchange.request.body, peer = null) ?: return exchange.respond(HttpReply(BAD_REQUEST))
                received(message)
                exchange.respond(HttpReply(OK, body = ownMessage().encode()))
            }

            CONFIGURATION_PATH -> {
                val document = configurationDocument
                exchange.respond(if (document == null) HttpReply(NOT_FOUND) else HttpReply(OK, body = document))
            }

            else -> {
                exchange.respond(HttpReply(NOT_FOUND))
            }
        }
    }

    private suspend fun exchangeWith(peer: ProcessName) {
        val address = NetworkAddress.parse(peer.value) ?: return
        val sentAt = ProcessClock.monotonic()
        val sentAtWall = ProcessClock.wall()
        val request = HttpMessage("POST", EXCHANGE_PATH, body = ownMessage().encode())
        val answer = caller.call(address, request, TIMEOUT) as? CallResult.Answered ?: return
        val message = message(answer.reply.body, peer) ?: return
        received(message)
        takeConfiguration(address, message)
        if (message.configurationVersion == state.configuration?.version && message.confirmedAge.isFinite()) {
            // The peer stated the age after this request was sent, so the confirmation is no older than this.
            state.confirmation.confirmed(sentAt - message.confirmedAge, sentAtWall - message.confirmedAge)
        }
    }

    private suspend fun takeConfiguration(
        address: NetworkAddress,
        message: PeerMessage,
    ) {
        if (message.configurationVersion <= (state.configuration?.version ?: 0)) return
        val answer =
            caller.call(address, HttpMessage("GET", CONFIGURATION_PATH), DOCUMENT_TIMEOUT) as? CallResult.Answered
                ?: return
        val document = answer.reply.body
        val configuration = decodeConfiguration(document)
        if (configuration == null) {
            state.log.log("configuration_unusable", "peer" to address, "bytes" to document.size)
            return
        }
        configurationDocument = document
        state.publish(configuration, source = "peer $address")
    }

    private fun message(
        bytes: ByteArray,
        peer: ProcessName?,
    ): PeerMessage? =
        PeerMessage.decode(bytes).also {
            if (it == null) state.log.log("peer_message_unusable", "peer" to peer, "bytes" to bytes.size)
        }

    /** Takes in what a peer says. */
    fun received(message: PeerMessage) {
        if (message.process == state.process) return
        val now = ProcessClock.monotonic()
        if (message.ready && !message.stopping) {
            mapKeepers[message.process] = MapKeeperCandidate(message.process, message.keepsMaps)
        } else {
            mapKeepers.remove(message.process)
        }
        if (message.stopping) {
            if (table.stopping(message.process)) state.log.log("peer_stopping", "peer" to message.process)
        } else if (table.heard(message.process, message.members, now)) {
            state.log.log("peer_alive", "peer" to message.process, "known" to alive(now).size)
        }
        state.loads.peerReported(message.process, message.inProgress, now)
        state.serversLeft(message.departures, message.process)
        state.fatalRequests.merge(message.fatalRequests, now)
        if (message.keepsMaps && !state.keepsMaps) state.groups.formed(message.groups)
        state.allowance.seen(alive(now).size + 1, now)
        table.removeLost(now).forEach { (peer, since) ->
            mapKeepers.remove(peer)
            state.log.log("peer_lost", "peer" to peer, "silent_ms" to (now - since).inWholeMilliseconds)
        }
    }

    private fun ownMessage(): PeerMessage =
        PeerMessage(
            process = state.process,
            members = alive(ProcessClock.monotonic()) + state.process,
            configurationVersion = state.configuration?.version ?: 0,
            confirmedAge = state.confirmedAge(),
            inProgress = state.loads.ownInProgress.toMap(),
            stopping = state.isStopping,
            ready = state.isReady,
            keepsMaps = state.keepsMaps,
            departures = state.catalogue.departures,
            groups = if (state.keepsMaps) state.groups.members else emptyMap(),
            fatalRequests = state.fatalRequests.reports(ProcessClock.monotonic(), MOST_FATAL_REQUESTS),
        )

    private companion object {
        const val OK = 200

        /** Requests of which a message tells, about 4 KiB; there are none unless servers have ended. */
        const val MOST_FATAL_REQUESTS = 32
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /** Time between rounds. Each pair of few processes meets twice a round; a request in progress lasts a second. */
        val INTERVAL = 400.milliseconds

        /** Time for which a start waits for peers; a living one answers within milliseconds. */
        val FIRST_ROUND = 100.milliseconds

        /** A peer answers within milliseconds; a cut connection is given up in time for the next round. */
        val TIMEOUT = 350.milliseconds

        /** A configuration document has up to a megabyte. */
        val DOCUMENT_TIMEOUT = 1.seconds
    }
}
