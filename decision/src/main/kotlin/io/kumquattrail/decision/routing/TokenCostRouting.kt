package io.kumquattrail.decision.routing

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.RendezvousHash
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Chooses the server with the least expected time to first token and load, both counted in tokens.
 *
 * A decision compares a bounded number of candidates: servers that probably have the prompt's prefix cached, servers
 * that all gateways prefer for the prefix, and random draws. Reported load of others counts less with its age, since
 * gateways that trust an old report all choose the same server.
 */
class TokenCostRouting(
    random: Random,
    private val settings: TokenCostSettings = TokenCostSettings(),
) : RoutingPolicy {
    override val name: String = "token_cost"

    private val table = ServerTable(random)
    private val sampler = ZoneSampler(settings, random)
    private val prefixes = PrefixIndex()
    private var estimates = HashMap<ServerName, ServerEstimate>()
    private var serverHashes = LongArray(0)
    private var candidates = ArrayList<ServerEstimate>()
    private var decision = 0L
    private var meanWeight = 1.0
    private var meanLoad = 0.0
    private var meanPromptTokens = 0.0
    private var meanTokenTime = 0.0
    private var promptMilliseconds = INITIAL_PROMPT_MILLISECONDS

    override fun updateTargets(targets: List<RoutingTarget>) {
        table.update(targets)
        val previous = estimates
        estimates = HashMap()
        table.servers.forEach { state ->
            val kept = previous[state.target.name]?.takeIf { it.state === state }
            estimates[state.target.name] = kept ?: ServerEstimate(state)
        }
        sampler.update(table.servers.map { estimates.getValue(it.target.name) })
        serverHashes = LongArray(targets.size) { RendezvousHash.weight("", targets[it].name.value) }
        meanWeight = targets
            .filter { it.inService }
            .map { it.weight }
            .average()
            .takeUnless { it.isNaN() } ?: 1.0
    }

    override fun choose(
        request: RoutingRequest,
        now: MonotonicTime,
    ): RoutingDecision {
        collectCandidates(request, now)
        var best: ServerEstimate? = null
        var leastCost = Double.MAX_VALUE
        for (candidate in candidates) {
            val cost = cost(candidate, request, now)
            // Draws follow the published weights; a difference within the error of the estimate must not undo that.
            if (cost < leastCost * SIGNIFICANT_SHARE) {
                best = candidate
                leastCost = cost
            }
        }
        val server = best ?: anyServer(request, now) ?: return RoutingDecision.NoServer(ServerTable.RETRY_AFTER)
        return assign(server, request, now)
    }

    override fun onFirstToken(
        assignment: Assignment,
        now: MonotonicTime,
    ) {
        if (assignment.firstTokenAt != null) return
        assignment.firstTokenAt = now
        val server = estimates[assignment.server] ?: return
        server.ownPromptTokens -= assignment.cost.promptTokens
        prefixes.note(assignment.server, assignment.prefix.map { it.hash })
        val milliseconds = (now - assignment.sentAt).toDouble(DurationUnit.MILLISECONDS)
        val rate = milliseconds / assignment.expectedPromptTokens
        val ratio = (rate / promptMilliseconds).coerceIn(MINIMUM_RATIO, MAXIMUM_RATIO)
        server.observedSlowness += OBSERVED_SMOOTHING * (ratio - server.observedSlowness)
        promptMilliseconds *= 1 + RATE_SMOOTHING * (ratio.coerceAtMost(2.0) - 1)
    }

    override fun onEnd(
        assignment: Assignment,
        end: AssignmentEnd,
        now: MonotonicTime,
    ) {
        table.end(assignment, end, now)
        val server = estimates[assignment.server] ?: return
        server.ownTokens -= assignment.cost.total
        if (assignment.firstTokenAt == null) server.ownPromptTokens -= assignment.cost.promptTokens
        if (end == AssignmentEnd.Broken) prefixes.forget(assignment.server)
    }

    override fun onLoadReport(
        server: ServerName,
        report: LoadReport,
        takenAt: MonotonicTime,
    ) {
        val wasCold = table.find(server)?.report?.cold
        val state = table.report(server, report, takenAt) ?: return
        val estimate = estimates.getValue(server)
        if (report.cold && wasCold == false) prefixes.forget(server)
        var ownTokens = 0L
        var ownPromptTokens = 0L
        for (assignment in state.assignments) {
            if (assignment.sentAt > takenAt) continue
            ownTokens += assignment.cost.total
            val firstTokenAt = assignment.firstTokenAt
            if (firstTokenAt == null || firstTokenAt > takenAt) ownPromptTokens += assignment.cost.promptTokens
        }
        val tokens = report.tokensInFlight + report.queuedTokens
        estimate.otherLoad = (tokens - ownTokens).coerceAtLeast(0) / estimate.tokenLimit
        estimate.otherPromptTokens = (report.promptTokensWaiting - ownPromptTokens).coerceAtLeast(0).toDouble()
        meanLoad += MEAN_SMOOTHING * (estimate.otherLoad - meanLoad)
        meanPromptTokens += MEAN_SMOOTHING * (estimate.otherPromptTokens - meanPromptTokens)
        noteTokenTime(estimate, report)
        sampler.refresh(estimate, load = tokens / estimate.tokenLimit)
    }

    override fun onCacheEvent(event: CacheEvent) = prefixes.apply(event)

    private fun noteTokenTime(
        server: ServerEstimate,
        report: LoadReport,
    ) {
        val time = report.millisecondsPerToken
        if (time <= 0.0) return
        if (meanTokenTime == 0.0) meanTokenTime = time
        // The bound keeps a straggler from raising the mean by which it is recognised.
        meanTokenTime += MEAN_SMOOTHING * (time.coerceAtMost(2 * meanTokenTime) - meanTokenTime)
        server.reportedSlowness = time / meanTokenTime
    }

    private fun collectCandidates(
        request: RoutingRequest,
        now: MonotonicTime,
    ) {
        candidates.clear()
        decision += 1
        if (request.prefix.isNotEmpty()) {
            prefixes.forEachHolder(request.prefix) { server, tokens ->
                val estimate = estimates[server]
                if (estimate != null && estimate.cachedTokensDecision != decision) {
                    estimate.cachedTokensDecision = decision
                    estimate.cachedTokens = tokens.coerceAtMost(request.promptTokens)
                    if (candidates.size < settings.holders) addIfSuitable(estimate, request, now)
                }
            }
            addHomes(request, now)
        }
        repeat(settings.draws) { sampler.draw()?.let { addIfSuitable(it, request, now) } }
    }

    /** Adds the servers that all gateways prefer for the first block, so that few servers hold it. */
    private fun addHomes(
        request: RoutingRequest,
        now: MonotonicTime,
    ) {
        val block = request.prefix.first().hash
        var first = -1
        var second = -1
        var firstWeight = Long.MIN_VALUE
        var secondWeight = Long.MIN_VALUE
        for (index in serverHashes.indices) {
            val product = (serverHashes[index] xor block) * MULTIPLIER
            val weight = (product xor (product ushr 32)) * MULTIPLIER
            if (weight > firstWeight) {
                second = first
                secondWeight = firstWeight
                first = index
                firstWeight = weight
            } else if (weight > secondWeight) {
                second = index
                secondWeight = weight
            }
        }
        if (first >= 0 && settings.homes > 0) addIfSuitable(estimateAt(first), request, now)
        if (second >= 0 && settings.homes > 1) addIfSuitable(estimateAt(second), request, now)
    }

    private fun estimateAt(index: Int): ServerEstimate = estimates.getValue(table.servers[index].target.name)

    private fun addIfSuitable(
        server: ServerEstimate,
        request: RoutingRequest,
        now: MonotonicTime,
    ) {
        if (!server.state.mayReceive(request, now) || server in candidates) return
        val isFullAndCold = server.warmth < 1.0 && server.state.requests(now) >= server.state.concurrencyLimit
        if (isFullAndCold) return
        if (slowness(server, now) > settings.slownessLimit && !isProbe(server, request, now)) return
        candidates += server
    }

    /**
     * Tells whether [request] may probe a slow server.
     *
     * A server that runs other gateways' requests is measured through its reports and needs no probe.
     */
    private fun isProbe(
        server: ServerEstimate,
        request: RoutingRequest,
        now: MonotonicTime,
    ): Boolean {
        val isMeasured = (server.state.recentReport(now)?.running ?: 0) > 0
        return !isMeasured && request.priority <= 0 && now - server.lastChosenAt >= settings.probeInterval
    }

    private fun cost(
        server: ServerEstimate,
        request: RoutingRequest,
        now: MonotonicTime,
    ): Double {
        val slowness = slowness(server, now)
        // Slow servers are candidates only for a probe, which has to be sent to be of use.
        if (slowness > settings.slownessLimit) return 0.0
        val firstToken = promptTokensUntilFirstToken(server, request, now) * promptMilliseconds * slowness
        val load = load(server, now) * meanWeight / server.state.target.weight
        return firstToken + settings.loadMilliseconds * load + queueMilliseconds(server, now)
    }

    private fun slowness(
        server: ServerEstimate,
        now: MonotonicTime,
    ): Double {
        val age = now - server.lastChosenAt
        val observed = 1 + (server.observedSlowness - 1) * exp(-(age / settings.slownessMemory))
        // One late first token, as of a connection's first request, makes the server dearer than idle ones. At low load it
        // would then not be chosen, and so not be measured, until the memory fades.
        val isStale = observed <= settings.slownessLimit && age >= settings.probeInterval
        return maxOf(server.reportedSlowness, if (isStale) 1.0 else observed)
    }

    private fun promptTokensUntilFirstToken(
        server: ServerEstimate,
        request: RoutingRequest,
        now: MonotonicTime,
    ): Double {
        val memory = memory(server, settings.promptMemory, now)
        val others = meanPromptTokens + (server.otherPromptTokens - meanPromptTokens) * memory
        val cached = cachedTokens(server)
        return OVERHEAD_TOKENS + server.ownPromptTokens + others + request.promptTokens - cached
    }

    private fun cachedTokens(server: ServerEstimate): Int =
        if (server.cachedTokensDecision == decision) server.cachedTokens else 0

    private fun load(
        server: ServerEstimate,
        now: MonotonicTime,
    ): Double {
        val memory = memory(server, settings.loadMemory, now)
        return server.ownTokens / server.tokenLimit + meanLoad + (server.otherLoad - meanLoad) * memory
    }

    private fun queueMilliseconds(
        server: ServerEstimate,
        now: MonotonicTime,
    ): Double {
        val excess = server.state.requests(now) - server.state.concurrencyLimit + 1
        return if (excess > 0) excess * QUEUE_MILLISECONDS else 0.0
    }

    private fun memory(
        server: ServerEstimate,
        memory: Duration,
        now: MonotonicTime,
    ): Double =
        if (server.state.report == null) 0.0 else exp(-((now - server.state.reportTakenAt) / memory).coerceAtLeast(0.0))

    private fun anyServer(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerEstimate? = table.scan(request, now)?.let { estimates.getValue(it.target.name) }

    private fun assign(
        server: ServerEstimate,
        request: RoutingRequest,
        now: MonotonicTime,
    ): RoutingDecision {
        val name = server.state.target.name
        val cached = cachedTokens(server)
        val expected = promptTokensUntilFirstToken(server, request, now)
        val chosen = table.assign(server.state, request, cached, now)
        chosen.assignment.expectedPromptTokens = expected
        server.ownTokens += chosen.assignment.cost.total
        server.ownPromptTokens += chosen.assignment.cost.promptTokens
        server.lastChosenAt = now
        chosen.assignment.prefix = request.prefix
        return chosen
    }

    private companion object {
        const val INITIAL_PROMPT_MILLISECONDS = 0.1
        const val OVERHEAD_TOKENS = 256
        const val SIGNIFICANT_SHARE = 0.9
        const val QUEUE_MILLISECONDS = 150.0
        const val MINIMUM_RATIO = 0.2
        const val MAXIMUM_RATIO = 10.0
        const val OBSERVED_SMOOTHING = 0.1
        const val RATE_SMOOTHING = 0.01
        const val MEAN_SMOOTHING = 0.05
        const val MULTIPLIER = -7070675565921424023L
    }
}
