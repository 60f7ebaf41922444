package io.kumquattrail.decision.suspect

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the ledger of prompt parts.
 *
 * Two crashes suffice to refuse a part, because requests with a suspected part run one at a time, so that a second crash
 * in progress by chance is unlikely. After 30 s the part is tried once more. A rank that crashes takes its group out of
 * service for about 4 s, so trials of a fatal part must be rare, and the third crash is the last that is borne for it.
 *
 * A part that shares each of its crashes with another suspect is tried and not refused: two fatal parts may have crashed
 * servers among requests that all have a third one. Such a tie is not deferred, as a request that has only some of the
 * tied parts is the one that resolves it.
 */
val PROMPT_PART_LIMITS =
    CrashLedgerLimits(
        crashThreshold = 2,
        exoneratingCrashes = 1,
        retrial = Retrial(delay = 30.seconds, conclusiveCrashes = 3),
        tieDeferral = Duration.ZERO,
    )

/** Determines whether a request may run, given what is known about the parts of its prompt. */
sealed interface PromptPartDecision {
    /** No part is suspected. */
    data object Run : PromptPartDecision

    /**
     * The request runs as a trial: until it ends or its answer begins, no other request of this process with one of the
     * suspected parts runs.
     *
     * @property part the part with the most crashes. All processes send the trials of a part to the same server, so that
     *   simultaneous ones crash one server only.
     */
    data class Try(
        val part: PromptPart,
    ) : PromptPartDecision

    /** Another request of this process is on trial for one of the suspected parts, and settles the question soon. */
    data object Wait : PromptPartDecision

    /** The request is refused for [remaining], because a part of its prompt crashes servers, or probably does. */
    data class Refuse(
        val crashes: Int,
        val remaining: Duration,
        val isFatal: Boolean,
    ) : PromptPartDecision
}

/**
 * Decides which requests with suspected prompt parts run, so that each crash and each answer tells as much as possible.
 *
 * Load pattern: requests that share one part of their prompt, and otherwise nothing, arrive at all gateways; each
 * crashes the server that begins to answer it. All parts of the requests that waited for an answer at a crash are
 * suspected. One request per part tries them out; an answer clears all of its parts, and the next crash leaves only a
 * few candidates. Instances are not thread-safe.
 *
 * @param Request identifies a request in progress.
 */
class PromptPartTrials<Request : Any>(
    private val ledger: CrashLedger<PromptPart>,
) {
    private val requestsOnTrial = HashMap<PromptPart, Request>()

    /** Decides about [request], whose prompt has [parts]; a trial that it grants continues until [end]. */
    fun decide(
        request: Request,
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): PromptPartDecision =
        when (val suspicion = ledger.classify(parts, now)) {
            Suspicion.None -> PromptPartDecision.Run
            is Suspicion.Suspect -> tryOut(request, ledger.suspectsAmong(parts, now))
            is Suspicion.Deferred -> PromptPartDecision.Refuse(suspicion.crashes, suspicion.remaining, isFatal = false)
            is Suspicion.Fatal -> PromptPartDecision.Refuse(suspicion.crashes, suspicion.remaining, isFatal = true)
        }

    /**
     * Returns those of [parts], of a request that waited for an answer at [crash], against which the crash counts. Parts
     * in [answered] have occurred in other answers.
     *
     * A caller may send any number of parts, so their number is limited. Parts that are suspected already go first. The
     * selection of the others differs between crashes, so that a fatal part at any position is recorded sooner or later.
     */
    fun candidates(
        parts: List<PromptPart>,
        answered: Set<PromptPart>,
        crash: ServerCrash,
    ): List<PromptPart> {
        val candidates = parts.filterNot { it in answered }
        if (candidates.size <= MAXIMUM_CANDIDATES) return candidates
        val (suspected, others) = candidates.partition { ledger.crashCount(it) > 0 }
        return (suspected + others.shuffled(Random(crash.hashCode()))).take(MAXIMUM_CANDIDATES)
    }

    /**
     * Returns whether a request with [parts] that is in progress and has no answer yet should be withdrawn from its
     * server, as one of the parts would be refused now.
     */
    fun shouldWithdraw(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): Boolean = ledger.classify(parts, now).let { it is Suspicion.Deferred || it is Suspicion.Fatal }

    /** Returns whether [request] is on trial. */
    fun isOnTrial(request: Request): Boolean = requestsOnTrial.isNotEmpty() && requestsOnTrial.containsValue(request)

    /** Ends the trial of [request], if there is one. */
    fun end(request: Request) {
        if (requestsOnTrial.isNotEmpty()) requestsOnTrial.values.removeAll { it == request }
    }

    private fun tryOut(
        request: Request,
        suspects: List<PromptPart>,
    ): PromptPartDecision {
        if (suspects.any { part -> requestsOnTrial[part].let { it != null && it != request } }) {
            return PromptPartDecision.Wait
        }
        suspects.forEach { requestsOnTrial[it] = request }
        return PromptPartDecision.Try(suspects.first())
    }

    private companion object {
        /**
         * Parts of one request that are recorded at a crash. The requests in the slots of a server, together, do not
         * displace all other suspects from a full ledger.
         */
        const val MAXIMUM_CANDIDATES = 64
    }
}
