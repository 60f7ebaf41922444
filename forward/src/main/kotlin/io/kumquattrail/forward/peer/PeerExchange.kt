package io.kumquattrail.forward.peer

import io.kumquattrail.decision.expert.replica.MapLeaderCandidate
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
import io.kumquattrail.forward.process.launchBackgroundTask
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val EXCHANGE_PATH = "/exchange"
private const val CONFIGURATION_PATH = "/configuration"

/**
 * Exchanges state with the other gateways: which gateways are alive, requests in progress, departed servers, request
 * rate limits, fatal requests, and the configuration when the configuration service is unreachable.
 *
 * @param seeds addresses of the gateways that are contacted first; some of them may no longer exist.
 * @property decodeConfiguration decodes a configuration document; returns `null` when it is not valid.
 */
class PeerExchange(
    private val state: GatewayState,
    private val caller: HttpCaller,
    seeds: List<ProcessName>,
    private val decodeConfiguration: (ByteArray) -> RoutingConfiguration?,
    private val random: Random = Random.Default,
) {
    private val readyCandidates = HashMap<ProcessName, MapLeaderCandidate>()
    private val table = PeerTable(self = state.process, seeds = seeds, interval = ROUND_INTERVAL)

    /** Document of the configuration in effect, as published; `null` until one has been received. */
    var configurationDocument: ByteArray? = null

    /** Returns the other gateways that have sent a message recently. */
    fun alivePeers(now: MonotonicTime): List<ProcessName> = table.alive(now)

    /** Returns the other gateways that have sent a message recently and can serve requests. */
    fun mapLeaderCandidates(now: MonotonicTime): List<MapLeaderCandidate> =
        alivePeers(now).mapNotNull(readyCandidates::get)

    /** Starts periodic exchanges with peers, which go on until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launchBackgroundTask("peer_exchange", state.log) {
            val exchanges = exchangeRound(scope)
            withTimeoutOrNull(FIRST_ROUND_TIMEOUT) { exchanges.joinAll() }
            state.peersAsked = true
            while (isActive) {
                delay(ROUND_INTERVAL)
                exchangeRound(scope)
            }
        }
    }

    /** Starts one round of exchanges and returns its jobs; may also be called between the periodic rounds. */
    fun exchangeRound(scope: CoroutineScope): List<Job> {
        val now = ProcessClock.monotonic()
        recordMembers(now)
        return table.selectPeers(now, random).map { peer -> scope.launch { exchangeWith(peer) } }
    }

    private fun recordMembers(now: MonotonicTime) {
        val peers = alivePeers(now)
        state.allowance.recordProcessCount(peers.size + 1, now)
        state.rateLimiter.updateMembers(peers, now)
    }

    /** Replaces the seed addresses, which are contacted to find peers. */
    fun updateSeeds(seeds: List<ProcessName>) {
        table.seeds = seeds
    }

    /** Responds to a request of a peer. */
    fun handle(exchange: CallerExchange) {
        when (exchange.request.target) {
            EXCHANGE_PATH -> {
                val message =
                    decodeMessage(exchange.request.body, peer = null) ?: return exchange.respond(HttpReply(BAD_REQUEST))
                onMessage(message)
                exchange.respond(HttpReply(OK, body = localMessage(message.requestsAllSuspects).encode()))
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
        // A gateway that starts, or that was cut off from the peer, may have missed any of its reports.
        val isNew = peer !in alivePeers(sentAt)
        val request = HttpMessage("POST", EXCHANGE_PATH, body = localMessage(withAllSuspects = isNew).encode())
        val body = call(address, request, EXCHANGE_TIMEOUT) ?: return
        val message = decodeMessage(body, peer) ?: return
        onMessage(message)
        fetchConfiguration(address, message)
        if (message.configurationVersion == state.configuration?.version && message.confirmedAge.isFinite()) {
            // The peer computed the age after this request was sent, so the time calculated from sentAt is never
            // later than the actual confirmation.
            state.confirmation.recordConfirmation(sentAt - message.confirmedAge, sentAtWall - message.confirmedAge)
        }
    }

    private suspend fun fetchConfiguration(
        address: NetworkAddress,
        message: PeerMessage,
    ) {
        if (message.configurationVersion <= (state.configuration?.version ?: 0)) return
        val document = call(address, HttpMessage("GET", CONFIGURATION_PATH), DOCUMENT_TIMEOUT) ?: return
        val configuration = decodeConfiguration(document)
        if (configuration == null) {
            state.log.log("configuration_unusable", "peer" to address, "bytes" to document.size)
            return
        }
        configurationDocument = document
        state.publish(configuration, source = "peer $address")
    }

    /** Returns the body of the response to [request], or `null` if there is none in time or it is a failure. */
    private suspend fun call(
        address: NetworkAddress,
        request: HttpMessage,
        timeout: Duration,
    ): ByteArray? {
        val reply = (caller.call(address, request, timeout) as? CallResult.Answered)?.reply
        return reply?.takeIf { it.status == OK }?.body
    }

    private fun decodeMessage(
        bytes: ByteArray,
        peer: ProcessName?,
    ): PeerMessage? =
        PeerMessage.decode(bytes).also {
            if (it == null) state.log.log("peer_message_unusable", "peer" to peer, "bytes" to bytes.size)
        }

    /** Applies the state in a message of a peer. */
    fun onMessage(message: PeerMessage) {
        if (message.process == state.process) return
        val now = ProcessClock.monotonic()
        if (message.ready && !message.stopping) {
            readyCandidates[message.process] = MapLeaderCandidate(message.process, message.isMapLeader)
        } else {
            readyCandidates.remove(message.process)
        }
        if (message.stopping) {
            if (table.recordStopping(message.process)) state.log.log("peer_stopping", "peer" to message.process)
        } else if (table.recordMessage(message.process, message.members, now)) {
            state.log.log("peer_alive", "peer" to message.process, "known" to alivePeers(now).size)
        }
        state.loads.recordPeerLoad(message.process, message.inProgress, now)
        state.recordDepartures(message.departures, message.process)
        state.fatalRequests.merge(message.fatalRequests, now)
        if (message.promptParts.isNotEmpty()) {
            state.suspectPromptParts.merge(message.promptParts, now)
            state.onPromptPartsReported()
        }
        state.mergeRateLimits(message.rateLimits, message.process)
        if (message.isMapLeader && !state.isMapLeader) state.groups.updateMembers(message.groups)
        recordMembers(now)
        table.removeLost(now).forEach { (peer, since) ->
            readyCandidates.remove(peer)
            state.log.log("peer_lost", "peer" to peer, "silent_ms" to (now - since).inWholeMilliseconds)
        }
    }

    /** @param withAllSuspects whether to report all suspects, and to request the same of the peer. */
    private fun localMessage(withAllSuspects: Boolean): PeerMessage {
        val now = ProcessClock.monotonic()
        val maximumReports = if (withAllSuspects) Int.MAX_VALUE else MAXIMUM_REPORTS
        return PeerMessage(
            process = state.process,
            members = alivePeers(now) + state.process,
            configurationVersion = state.configuration?.version ?: 0,
            confirmedAge = state.confirmedAge(),
            inProgress = state.loads.ownInProgress.toMap(),
            stopping = state.isStopping,
            ready = state.isReady,
            isMapLeader = state.isMapLeader,
            departures = state.catalogue.departures(now),
            groups = if (state.isMapLeader) state.groups.members else emptyMap(),
            fatalRequests = state.fatalRequests.reports(now, maximumReports),
            promptParts = state.suspectPromptParts.reports(now, maximumReports),
            requestsAllSuspects = withAllSuspects,
            rateLimits = state.rateLimits.reports(now),
        )
    }

    private companion object {
        const val OK = 200

        /**
         * Limit on the reports of each kind of suspect in a periodic message, about 4 KiB; there are none unless
         * servers have crashed.
         */
        const val MAXIMUM_REPORTS = 32
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /**
         * Time between rounds. In a small fleet, each pair of gateways exchanges state twice per round, so the counts
         * of requests in progress are recent compared with the duration of a request, about a second.
         */
        val ROUND_INTERVAL = 400.milliseconds

        /** Time for which a starting gateway waits for peers; a running peer responds within milliseconds. */
        val FIRST_ROUND_TIMEOUT = 100.milliseconds

        /** A peer responds within milliseconds; a dead connection is abandoned before the next round. */
        val EXCHANGE_TIMEOUT = 350.milliseconds

        /** Timeout of fetching a configuration document, which has up to one megabyte. */
        val DOCUMENT_TIMEOUT = 1.seconds
    }
}
