package io.kumquattrail.decision.admission

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Decides for an agent what its backend server receives and when.
 *
 * It is the only authority on the server's limits, cold start and drain: what gateways assume never adds work. It is
 * used by one thread at a time. Every granted item is sent only after [recheck].
 *
 * @property incarnation incarnation of the agent.
 */
class AdmissionController(
    val incarnation: Incarnation,
    private val queue: WorkQueue,
    private val settings: AdmissionSettings = AdmissionSettings(),
) {
    private class Flight(
        val item: WorkItem,
        val grantedAt: MonotonicTime,
        val generation: Int,
    ) {
        var sentAt: MonotonicTime? = null
        var firstTokenAt: MonotonicTime? = null
        var promptTokensAhead: Long = 0
        var outputTokens: Int = 0
        var measurable: Boolean = true

        val tokens: Long get() = item.cost.promptTokens + maxOf(item.cost.outputTokens, outputTokens).toLong()
    }

    private val flights = LinkedHashMap<WorkId, Flight>()

    /** Sent work without a first token, which is what [noteLateFirstTokens] looks at on every tick. */
    private val unanswered = LinkedHashMap<WorkId, Flight>()
    private var flightTokens = 0L
    private var aloneFlights = 0
    private val knownIds = LinkedHashSet<WorkId>()
    private var published: AdmissionEvent.RecordsChanged? = null
    private var coldStart: ColdStartLimit? = null
    private var serverIncarnation: String? = null
    private var observationNeeded = true
    private var lastReadRequest: MonotonicTime? = null
    private var otherRunning = 0
    private var otherTokens = 0L
    private var heldUntil: MonotonicTime? = null
    private var lastCall: MonotonicTime? = null
    private var firstToken = FirstTokenModel()
    private var millisecondsPerToken = 0.0
    private var lastAnswerAt: MonotonicTime? = null
    private var answerMilliseconds = 0.0

    /** Whether the server receives new work. */
    var drainState: DrainState = DrainState.UNPUBLISHED
        private set

    /** Requests in flight, with those that the server still runs for an earlier agent. */
    val running: Int get() = flights.size + otherRunning

    /** Tokens of the requests in flight. */
    val tokensInFlight: Long get() = flightTokens + otherTokens

    /** Applies [event] and returns what the agent has to do, in order. */
    fun onEvent(
        event: AdmissionEvent,
        now: MonotonicTime,
    ): List<AdmissionAction> =
        buildList {
            notePause(now)
            when (event) {
                is AdmissionEvent.WorkArrived -> {
                    arrive(event, now)
                }

                is AdmissionEvent.WorkWithdrawn -> {
                    withdraw(event.id)
                }

                is AdmissionEvent.FirstToken -> {
                    noteFirstToken(event.id, now)
                }

                is AdmissionEvent.OutputProgress -> {
                    noteOutput(event.id, event.outputTokens)
                }

                is AdmissionEvent.NotConnected -> {
                    handBackUnconnected(event.id)
                }

                is AdmissionEvent.WorkEnded -> {
                    end(event, now)
                }

                is AdmissionEvent.ServerObserved -> {
                    observe(event)
                }

                is AdmissionEvent.RecordsChanged -> {
                    publish(event)
                }

                AdmissionEvent.ConnectionReset -> {
                    resetConnection()
                }

                AdmissionEvent.RecordsConfirmed -> {
                    heldUntil = null
                }

                AdmissionEvent.Tick -> {
                    noteLateFirstTokens(now)
                    noteSilence(now)
                }
            }
            proceed(now)
        }

    /**
     * Decides again whether the granted work [id] may be sent, directly before it is sent.
     *
     * The grant may be old: the process may have been paused since, the caller may no longer wait, and the server may
     * have become cold or left the service.
     */
    fun recheck(
        id: WorkId,
        now: MonotonicTime,
    ): SendDecision {
        val flight = flights[id]?.takeIf { it.sentAt == null } ?: return SendDecision.NotGranted
        val server = serverIncarnation
        val cause =
            when {
                now >= flight.item.deadline -> HandBackCause.EXPIRED
                now - flight.grantedAt > settings.maximumSendDelay -> HandBackCause.SEND_DELAYED
                server == null || observationNeeded -> HandBackCause.SERVER_COLD
                else -> null
            }
        if (cause == null && server != null) {
            flight.promptTokensAhead = promptTokensAhead() + flight.item.cost.promptTokens
            flight.sentAt = now
            unanswered[id] = flight
            return SendDecision.Send(server)
        }
        removeFlight(id)
        return SendDecision.Denied(
            buildList {
                notePause(now)
                handBack(flight.item, cause ?: HandBackCause.SERVER_COLD)
                proceed(now)
            },
        )
    }

    /** Returns the load of the server as the agent knows it. */
    fun loadReport(): LoadReport =
        LoadReport(
            running = running,
            queued = queue.size,
            queuedTokens = queue.tokens,
            concurrencyLimit = coldStart?.concurrency ?: 0,
            tokensInFlight = tokensInFlight,
            tokenLimit = coldStart?.tokens ?: 0,
            millisecondsPerToken = millisecondsPerToken,
            firstTokenMilliseconds = firstToken.milliseconds,
            cold = coldStart?.isCold ?: true,
            draining = drainState != DrainState.IN_SERVICE,
            incarnation = incarnation,
            revision = published?.revision ?: 0,
            promptTokensWaiting = promptTokensAhead(),
        )

    private fun MutableList<AdmissionAction>.arrive(
        event: AdmissionEvent.WorkArrived,
        now: MonotonicTime,
    ) {
        val item = event.item
        if (item.id in knownIds || item.id in flights) {
            add(AdmissionAction.CloseDuplicate(item.id))
            return
        }
        remember(item.id)
        val limit = coldStart
        val expected = event.expectedIncarnation
        when {
            expected != null && expected != incarnation -> handBack(item, HandBackCause.OTHER_INCARNATION)
            limit == null -> handBack(item, HandBackCause.NOT_PUBLISHED)
            drainState != DrainState.IN_SERVICE -> handBack(item, HandBackCause.DRAINING)
            item.deadline <= now -> handBack(item, HandBackCause.EXPIRED)
            item.cost.total > limit.limits.warmTokens -> handBack(item, HandBackCause.TOO_LARGE)
            item.cost.total > limit.tokens -> handBack(item, HandBackCause.SERVER_COLD)
            limit.isCold && queue.size >= limit.concurrency -> handBack(item, HandBackCause.SERVER_COLD)
            else -> enqueue(item, now)
        }
    }

    private fun MutableList<AdmissionAction>.enqueue(
        item: WorkItem,
        now: MonotonicTime,
    ) {
        when (val decision = queue.offer(item, now)) {
            is QueueDecision.Accepted -> {
                decision.shed.forEach { handBack(it, HandBackCause.SHED) }
            }

            is QueueDecision.Rejected -> {
                add(AdmissionAction.HandBack(item, HandBackCause.QUEUE_FULL, decision.retryAfter))
            }
        }
    }

    private fun withdraw(id: WorkId) {
        queue.remove(id)
        if (flights[id]?.sentAt == null) removeFlight(id)
    }

    private fun MutableList<AdmissionAction>.noteFirstToken(
        id: WorkId,
        now: MonotonicTime,
    ) {
        val flight = flights[id] ?: return
        val sentAt = flight.sentAt ?: return
        if (flight.firstTokenAt != null) return
        noteAnswer(now)
        flight.firstTokenAt = now
        unanswered -= id
        if (!flight.measurable) return
        noteIfLate(flight, now)
        firstToken = firstToken.observed(flight.promptTokensAhead, now - sentAt)
    }

    private fun noteOutput(
        id: WorkId,
        outputTokens: Int,
    ) {
        val flight = flights[id] ?: return
        flightTokens -= flight.tokens
        flight.outputTokens = maxOf(flight.outputTokens, outputTokens)
        flightTokens += flight.tokens
    }

    private fun MutableList<AdmissionAction>.handBackUnconnected(id: WorkId) {
        val flight = removeFlight(id) ?: return
        handBack(flight.item, HandBackCause.SERVER_UNREACHABLE)
        resetConnection()
    }

    private fun MutableList<AdmissionAction>.end(
        event: AdmissionEvent.WorkEnded,
        now: MonotonicTime,
    ) {
        val flight = removeFlight(event.id) ?: return
        if (flight.sentAt == null) return
        noteAnswer(now)
        noteTokenTime(flight, now)
        when (event.outcome) {
            WorkOutcome.COMPLETED -> {
                coldStart = coldStart?.afterCompletion(flight.generation)
            }

            WorkOutcome.FAILED -> {
                coldStart = coldStart?.afterFailure()
            }

            WorkOutcome.CANCELLED -> {
                countAsOther(flight)
            }

            WorkOutcome.BROKEN -> {
                countAsOther(flight)
                resetConnection()
            }
        }
    }

    /** Counts work that the server may still run until the next read of the server tells. */
    private fun countAsOther(flight: Flight) {
        otherRunning += 1
        otherTokens += flight.tokens
    }

    private fun noteTokenTime(
        flight: Flight,
        now: MonotonicTime,
    ) {
        val firstTokenAt = flight.firstTokenAt ?: return
        if (flight.outputTokens < 2) return
        val sample = (now - firstTokenAt).toDouble(DurationUnit.MILLISECONDS) / (flight.outputTokens - 1)
        millisecondsPerToken =
            if (millisecondsPerToken ==
                0.0
            ) {
                sample
            } else {
                millisecondsPerToken + SMOOTHING * (sample - millisecondsPerToken)
            }
    }

    private fun MutableList<AdmissionAction>.observe(event: AdmissionEvent.ServerObserved) {
        val restarted = serverIncarnation != null && serverIncarnation != event.incarnation
        if (restarted) becomeCold(ColdSign.SERVER_INCARNATION_CHANGED)
        val unread = observationNeeded || restarted
        serverIncarnation = event.incarnation
        observationNeeded = false
        // Only own work that the server certainly counts is subtracted. Subtracting too little makes the estimate of
        // other work too high, which is safe.
        val counted = flights.values.filter { isCountedByServer(it, event.readStartedAt) }
        val other = (event.running - counted.size).coerceAtLeast(0)
        otherRunning = if (unread) other else minOf(otherRunning, other)
        otherTokens =
            when {
                otherRunning == 0 -> 0
                event.tokens == null -> otherRunning * averageTokens()
                else -> (event.tokens - counted.sumOf { it.tokens }).coerceAtLeast(0)
            }
    }

    private fun isCountedByServer(
        flight: Flight,
        readStartedAt: MonotonicTime,
    ): Boolean {
        val firstTokenAt = flight.firstTokenAt
        val sentAt = flight.sentAt
        return when {
            firstTokenAt != null -> firstTokenAt < readStartedAt
            sentAt != null -> flight.measurable && readStartedAt - sentAt > settings.serverCountDelay
            else -> false
        }
    }

    /** Estimates the tokens of a request that only the server knows, so that the limits hold their proportion. */
    private fun averageTokens(): Long = coldStart?.limits?.let { it.coldTokens / it.coldConcurrency } ?: 0

    private fun MutableList<AdmissionAction>.publish(event: AdmissionEvent.RecordsChanged) {
        if (event.revision < (published?.revision ?: Long.MIN_VALUE)) return
        val known = coldStart
        published = event
        coldStart = known?.copy(limits = event.limits) ?: ColdStartLimit(event.limits, settings.completionsPerDoubling)
        if (known == null) add(AdmissionAction.NoteCold(ColdSign.AGENT_STARTED))
        when {
            event.inService -> drainState = DrainState.IN_SERVICE
            drainState != DrainState.DRAINED -> drainState = DrainState.DRAINING
        }
        if (!event.inService) handBackUnsent(HandBackCause.DRAINING)
    }

    private fun MutableList<AdmissionAction>.resetConnection() {
        becomeCold(ColdSign.CONNECTION_RESET)
        observationNeeded = true
        lastReadRequest = null
    }

    private fun MutableList<AdmissionAction>.becomeCold(sign: ColdSign) {
        val limit = coldStart ?: return
        coldStart = limit.restarted()
        add(AdmissionAction.NoteCold(sign))
        handBackUnsent(HandBackCause.SERVER_COLD)
    }

    private fun MutableList<AdmissionAction>.handBackUnsent(cause: HandBackCause) {
        val granted = flights.values.filter { it.sentAt == null }
        granted.forEach {
            removeFlight(it.item.id)
            handBack(it.item, cause)
        }
        queue.drain().forEach { handBack(it, cause) }
    }

    private fun MutableList<AdmissionAction>.noteLateFirstTokens(now: MonotonicTime) {
        unanswered.values.filter { it.measurable }.forEach { noteIfLate(it, now) }
    }

    private fun noteAnswer(now: MonotonicTime) {
        lastAnswerAt?.let { last ->
            val interval = (now - last).toDouble(DurationUnit.MILLISECONDS)
            answerMilliseconds += SMOOTHING * (interval - answerMilliseconds)
        }
        lastAnswerAt = now
    }

    /**
     * Notes a server that answers none of many requests.
     *
     * Under high load a first token may take long without being late, so lateness alone would notice a cold server only
     * after seconds.
     */
    private fun MutableList<AdmissionAction>.noteSilence(now: MonotonicTime) {
        val last = lastAnswerAt ?: return
        val silence = now - last
        if (flights.size < settings.silenceRequests || silence < settings.silenceMinimum) return
        if (silence < (answerMilliseconds * settings.silenceFactor).milliseconds) return
        lastAnswerAt = null
        if ((coldStart?.doublings ?: 0) > 0) becomeCold(ColdSign.SILENT_SERVER)
    }

    private fun addFlight(flight: Flight) {
        flights[flight.item.id] = flight
        flightTokens += flight.tokens
        if (flight.item.runAlone) aloneFlights += 1
    }

    private fun removeFlight(id: WorkId): Flight? {
        val flight = flights.remove(id) ?: return null
        unanswered -= id
        flightTokens -= flight.tokens
        if (flight.item.runAlone) aloneFlights -= 1
        return flight
    }

    private fun MutableList<AdmissionAction>.noteIfLate(
        flight: Flight,
        now: MonotonicTime,
    ) {
        val sentAt = flight.sentAt ?: return
        val limit = coldStart ?: return
        val expected = firstToken.expected(flight.promptTokensAhead) ?: return
        val waited = now - sentAt
        if (waited < settings.lateMinimum || waited < expected * settings.lateFactor) return
        flight.measurable = false
        // Work of an earlier generation is late for a reason that is already taken into account.
        if (flight.generation != limit.generation) return
        if (limit.doublings == 0) coldStart = limit.afterFailure() else becomeCold(ColdSign.LATE_FIRST_TOKEN)
    }

    private fun MutableList<AdmissionAction>.notePause(now: MonotonicTime) {
        val last = lastCall
        lastCall = now
        if (last == null || now - last <= settings.pauseThreshold || coldStart == null) return
        // Records and server may have changed while the process was paused, so both are read before work is sent.
        heldUntil = now + settings.confirmationWait
        observationNeeded = true
        lastReadRequest = null
        flights.values.forEach { it.measurable = false }
        lastAnswerAt = null
        // What the agent measured before is no evidence of the server's state now: the server may have turned cold in the
        // meantime, and the late first tokens that would show it cannot be told from the agent's own pause.
        becomeCold(ColdSign.AGENT_PAUSED)
        add(AdmissionAction.ConfirmRecords)
    }

    private fun MutableList<AdmissionAction>.proceed(now: MonotonicTime) {
        heldUntil?.let { if (now >= it) heldUntil = null }
        queue.removeExpired(now).forEach { handBack(it, HandBackCause.EXPIRED) }
        startFitting(now)
        requestRead(now)
        if (drainState == DrainState.DRAINING && running == 0) {
            drainState = DrainState.DRAINED
            add(AdmissionAction.NoteDrained)
        }
    }

    private fun MutableList<AdmissionAction>.startFitting(now: MonotonicTime) {
        val limit = coldStart ?: return
        if (drainState != DrainState.IN_SERVICE || observationNeeded || heldUntil != null) return
        while (true) {
            val next = queue.peek(now) ?: return
            if (next.cost.total > limit.tokens) {
                queue.poll(now)
                val tooLarge = next.cost.total > limit.limits.warmTokens
                handBack(next, if (tooLarge) HandBackCause.TOO_LARGE else HandBackCause.SERVER_COLD)
            } else {
                if (!fits(next, limit)) return
                queue.poll(now)
                addFlight(Flight(next, now, limit.generation))
                add(AdmissionAction.Start(next))
            }
        }
    }

    private fun fits(
        item: WorkItem,
        limit: ColdStartLimit,
    ): Boolean =
        when {
            aloneFlights > 0 -> false
            item.runAlone -> running == 0
            else -> running < limit.concurrency && tokensInFlight + item.cost.total <= limit.tokens
        }

    private fun MutableList<AdmissionAction>.requestRead(now: MonotonicTime) {
        if (!observationNeeded && otherRunning == 0) return
        val last = lastReadRequest
        if (last != null && now - last < settings.observationInterval) return
        lastReadRequest = now
        add(AdmissionAction.ReadServer)
    }

    private fun promptTokensAhead(): Long =
        unanswered.values.sumOf {
            it.item.cost.promptTokens
                .toLong()
        }

    private fun MutableList<AdmissionAction>.handBack(
        item: WorkItem,
        cause: HandBackCause,
    ) {
        val retryAfter =
            when (cause) {
                HandBackCause.SERVER_COLD,
                HandBackCause.SERVER_UNREACHABLE,
                HandBackCause.SHED,
                -> settings.coldRetryAfter

                else -> null
            }
        add(AdmissionAction.HandBack(item, cause, retryAfter))
    }

    private fun remember(id: WorkId) {
        knownIds += id
        if (knownIds.size > settings.maximumRememberedIds) knownIds.remove(knownIds.first())
    }

    private companion object {
        const val SMOOTHING = 0.2
    }
}
