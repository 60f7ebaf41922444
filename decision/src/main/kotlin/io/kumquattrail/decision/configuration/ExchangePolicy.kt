package io.kumquattrail.decision.configuration

import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Spreads configuration between processes and decides when this process reads the configuration service.
 *
 * A change is pushed to a few random peers at once, and every process compares its revision with a random peer at a
 * fixed interval. One thread at a time calls the policy. Call [tick] at [nextTick] or later, and after [start].
 *
 * @property state records in effect in this process; only this policy changes them.
 */
class ExchangePolicy(
    val self: Peer,
    val state: ConfigurationState,
    private val random: Random,
    private val settings: ExchangeSettings = ExchangeSettings(),
) {
    private val schedule = ServiceReadSchedule(self, random, settings)
    private var sources: List<Peer> = emptyList()
    private var equals: List<Peer> = emptyList()
    private var narrower: List<Peer> = emptyList()
    private var hasPeers = false

    private var started: MonotonicTime? = null
    private var askedAtStart = HashSet<ProcessName>()
    private var starting = true

    private var nextComparison = MonotonicTime.ZERO
    private var awaited: Awaited? = null
    private var announced: Announcement? = null

    private var pushedRevision = 0L
    private var pushDue: MonotonicTime? = null
    private var lastPush: MonotonicTime? = null
    private var pushExcept: ProcessName? = null

    private var firstServiceAnswer: MonotonicTime? = null

    /** Highest revision that the configuration service has reported; below [state]'s when the service is stale. */
    var serviceRevision: Long = 0
        private set

    /** Whether this process is one of the readers of its zone. */
    val isReader: Boolean get() = schedule.isReader

    /** Whether this process still asks peers before it trusts the service. */
    val isStarting: Boolean get() = starting

    /** Time at which [tick] has something to do next. */
    val nextTick: MonotonicTime
        get() = listOfNotNull(nextComparison, pushDue, awaited?.until, schedule.nextEvent).min()

    /** Begins the exchange. */
    fun start(now: MonotonicTime): List<ExchangeAction> {
        started = now
        nextComparison = now + settings.compareInterval * random.nextDouble()
        return tick(now)
    }

    /** Takes over the [peers] that are believed to be live; this process itself is ignored. */
    fun peersChanged(
        peers: Collection<Peer>,
        now: MonotonicTime,
    ): List<ExchangeAction> {
        val others = peers.filter { it.name != self.name }.sortedBy { it.name }
        hasPeers = others.isNotEmpty()
        sources = others.filter { it.subscription.covers(self.subscription) }
        equals = others.filter { it.subscription == self.subscription }
        narrower = others.filter { it.subscription != self.subscription && self.subscription.covers(it.subscription) }
        schedule.peersChanged(others, now)
        return if (starting && started != null) tick(now) else emptyList()
    }

    /** Does what is due at [now]. */
    fun tick(now: MonotonicTime): List<ExchangeAction> =
        buildList {
            awaited?.let { if (it.until <= now) awaited = null }
            fetch(now)
            if (starting) continueStart(now)
            if (nextComparison <= now) compare(now)
            if (pushDue?.let { it <= now } == true) push(now)
            schedule.read(now, hasRecords = state.revision > 0)?.let {
                add(ExchangeAction.ReadService(after = state.revision, wait = it))
            }
        }

    /** Answers the request [message] of a peer. */
    fun requested(
        message: ExchangeMessage,
        now: MonotonicTime,
    ): ExchangeReply {
        val actions = take(message, now)
        return ExchangeReply(answer(message), actions)
    }

    /** Takes in the answer of a peer to an earlier [ExchangeAction.Send]. */
    fun answered(
        message: ExchangeMessage,
        now: MonotonicTime,
    ): List<ExchangeAction> {
        // Only a comparison is followed by records: the answer to a push would otherwise cause the next push, at the pace
        // of the network, while the peer still fetches.
        val wasComparison = awaited?.peer == message.sender
        if (wasComparison) awaited = null
        return take(message, now) +
            buildList {
                if (wasComparison && message.revision < state.revision) add(supply(message))
                fetch(now)
                if (starting) continueStart(now)
            }
    }

    /** Takes in that [peer] did not answer. */
    fun peerFailed(
        peer: ProcessName,
        now: MonotonicTime,
    ): List<ExchangeAction> {
        if (awaited?.peer == peer) awaited = null
        if (announced?.peer == peer) announced = null
        return buildList {
            fetch(now)
            if (starting) continueStart(now)
        }
    }

    /** Takes in an answer of the configuration service; a watch that ran out answers with an empty delta. */
    fun serviceAnswered(
        delta: RecordDelta,
        now: MonotonicTime,
    ): List<ExchangeAction> {
        schedule.answered(now)
        val previousServiceRevision = serviceRevision
        serviceRevision = maxOf(serviceRevision, delta.to)
        return buildList {
            addAll(apply(delta, source = null, now = now))
            // A service that is frozen in an old state never publishes anything new, and a replica that catches up does
            // so at once; a revision that appears only after a while was published after this process started.
            val first = firstServiceAnswer
            if (first == null) {
                firstServiceAnswer = now
            } else if (now - first >= settings.confirmationTime && delta.to > previousServiceRevision) {
                addAll(confirm(revision = delta.to))
            }
        }
    }

    /** Takes in that the configuration service did not answer. */
    fun serviceFailed(now: MonotonicTime): List<ExchangeAction> {
        schedule.failed(now, hasRecords = state.revision > 0)
        return emptyList()
    }

    private fun take(
        message: ExchangeMessage,
        now: MonotonicTime,
    ): List<ExchangeAction> =
        buildList {
            message.delta?.let { addAll(apply(it, message.sender, now)) }
            if (message.confirmed) addAll(confirm(message.revision))
            if (message.revision > state.revision && message.subscription.covers(self.subscription)) {
                if (message.revision > (announced?.revision ?: 0)) {
                    announced = Announcement(message.sender, message.revision)
                }
                fetch(now)
            }
        }

    private fun apply(
        delta: RecordDelta,
        source: ProcessName?,
        now: MonotonicTime,
    ): List<ExchangeAction> =
        when (val outcome = state.apply(delta)) {
            is ApplyOutcome.Applied -> {
                pushExcept = source
                pushDue = maxOf(now, lastPush?.plus(settings.pushInterval) ?: now)
                if (source != null) schedule.learnedFromPeer(now)
                buildList {
                    add(ExchangeAction.InEffect(outcome))
                    if (pushDue == now) push(now)
                }
            }

            is ApplyOutcome.NotNewer -> {
                emptyList()
            }

            // A peer's push that starts above the own revision is followed by a fetch.
            is ApplyOutcome.Gap, ApplyOutcome.KindsMissing, is ApplyOutcome.OutsideRange -> {
                if (source != null && outcome !is ApplyOutcome.OutsideRange) {
                    emptyList()
                } else {
                    listOf(ExchangeAction.NotApplied(source, outcome))
                }
            }
        }

    private fun confirm(revision: Long): List<ExchangeAction> {
        if (state.confirmed || state.revision == 0L || state.revision < revision) return emptyList()
        state.confirm()
        return listOf(ExchangeAction.Confirmed)
    }

    // Peers are asked one after the other: the first answer carries all records, the others only what is newer.
    private fun MutableList<ExchangeAction>.continueStart(now: MonotonicTime) {
        if (awaited != null) return
        val next =
            if (askedAtStart.size >= settings.peersAskedAtStart) {
                null
            } else {
                sources.filter { it.name !in askedAtStart }.randomOrNull(random)
            }
        when {
            next != null -> {
                askedAtStart += next.name
                nextComparison = now + settings.compareInterval
                ask(next.name, now)
            }

            hasPeers || started?.let { now - it >= settings.peerListTimeout } == true -> {
                starting = false
                schedule.allow(now, hasRecords = state.revision > 0)
            }
        }
    }

    private fun MutableList<ExchangeAction>.compare(now: MonotonicTime) {
        nextComparison = now + settings.compareInterval * (COMPARE_LOWEST + COMPARE_SPREAD * random.nextDouble())
        if (awaited != null) return
        sources.randomOrNull(random)?.let { ask(it.name, now) }
    }

    private fun MutableList<ExchangeAction>.fetch(now: MonotonicTime) {
        val known = announced ?: return
        if (awaited != null) return
        announced = null
        if (known.revision > state.revision) ask(known.peer, now)
    }

    private fun MutableList<ExchangeAction>.ask(
        peer: ProcessName,
        now: MonotonicTime,
    ) {
        val timeout = if (state.revision == 0L) settings.answerTimeout * FIRST_ANSWER_FACTOR else settings.answerTimeout
        awaited = Awaited(peer, until = now + timeout)
        add(ExchangeAction.Send(peer, message()))
    }

    private fun MutableList<ExchangeAction>.push(now: MonotonicTime) {
        pushDue = null
        lastPush = now
        val from = pushedRevision
        pushedRevision = state.revision
        val targets = pick(equals, settings.fanout) + pick(narrower, settings.narrowerFanout)
        targets
            .groupBy { it.subscription }
            .forEach { (subscription, peers) ->
                val message = message(inline(from, subscription))
                peers.forEach { add(ExchangeAction.Send(it.name, message)) }
            }
    }

    private fun pick(
        peers: List<Peer>,
        count: Int,
    ): List<Peer> {
        val picked = LinkedHashSet<Peer>()
        repeat(PICK_ATTEMPTS_PER_PEER * count) {
            val peer = peers.randomOrNull(random) ?: return emptyList()
            if (picked.size < count && peer.name != pushExcept) picked += peer
        }
        return picked.toList()
    }

    private fun inline(
        after: Long,
        subscription: RecordSubscription,
    ): RecordDelta? {
        // A whole configuration is never pushed, as peers that start at the same time would receive it several times.
        if (after == 0L) return null
        return state.delta(after, subscription).takeIf { it.size <= settings.inlineBytes }
    }

    private fun supply(behind: ExchangeMessage): ExchangeAction.Send =
        ExchangeAction.Send(behind.sender, message(inline(behind.revision, behind.subscription)))

    private fun answer(request: ExchangeMessage): ExchangeMessage =
        message(
            if (request.revision < state.revision && state.subscription.covers(request.subscription)) {
                state.delta(request.revision, request.subscription)
            } else {
                null
            },
        )

    private fun message(delta: RecordDelta? = null): ExchangeMessage =
        ExchangeMessage(
            sender = self.name,
            revision = state.revision,
            confirmed = state.confirmed,
            subscription = state.subscription,
            delta = delta,
        )

    private data class Awaited(
        val peer: ProcessName,
        val until: MonotonicTime,
    )

    private data class Announcement(
        val peer: ProcessName,
        val revision: Long,
    )

    private companion object {
        // Spreads comparisons, so that processes that started together do not stay in step.
        const val COMPARE_LOWEST = 0.75
        const val COMPARE_SPREAD = 0.5
        const val FIRST_ANSWER_FACTOR = 3
        const val PICK_ATTEMPTS_PER_PEER = 3
    }
}

/**
 * Holds the [answer] to a peer's request and the [actions] that the request caused.
 */
data class ExchangeReply(
    val answer: ExchangeMessage,
    val actions: List<ExchangeAction>,
)
