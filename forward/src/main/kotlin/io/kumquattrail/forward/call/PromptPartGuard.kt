package io.kumquattrail.forward.call

import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.PromptPartDecision
import io.kumquattrail.decision.suspect.PromptPartTrials
import io.kumquattrail.decision.suspect.ServerCrash
import io.kumquattrail.forward.process.GatewayState
import io.kumquattrail.forward.process.ProcessClock
import kotlin.time.Duration

/**
 * Records which parts of prompts may crash servers, and limits the requests that have them. Must be used on the event
 * loop only.
 *
 * As long as no part is suspected, it only keeps the set of calls in progress.
 */
internal class PromptPartGuard(
    private val state: GatewayState,
) {
    private val ledger = state.suspectPromptParts
    private val trials = PromptPartTrials<Call>(ledger)
    private val calls = LinkedHashSet<Call>()

    init {
        state.onPromptPartsReported = ::onReports
    }

    /** Records that [call] is in progress, until [onEnd]. */
    fun onStart(call: Call) {
        calls += call
    }

    /** Records that [call] has ended. */
    fun onEnd(call: Call) {
        calls -= call
        trials.end(call)
    }

    /** Decides whether [call] may be sent to a server now. */
    fun decide(call: Call): PromptPartDecision =
        if (ledger.hasSuspects) {
            trials.decide(call, call.sharedPromptParts, ProcessClock.monotonic())
        } else {
            PromptPartDecision.Run
        }

    /** Returns whether [call] is on trial for a suspected part. */
    fun isOnTrial(call: Call): Boolean = trials.isOnTrial(call)

    /** Ends the trial of [call], if there is one, so that another request may be tried. */
    fun endTrial(call: Call) = trials.end(call)

    /**
     * Records that [crash] interrupted [call], [timeSinceSent] after it was sent; returns whether this is news.
     *
     * A fatal part crashes a server that begins to answer, so a call whose answer had begun is not suspected, and nor is
     * a part that occurs in another answer in progress.
     */
    fun recordCrash(
        call: Call,
        crash: ServerCrash,
        timeSinceSent: Duration,
    ): Boolean {
        if (call.hasAnswerBegun) return false
        val answered = answeredCalls().flatMapTo(HashSet()) { it.sharedPromptParts }
        val recorded =
            trials
                .candidates(call.sharedPromptParts, answered, crash)
                .filter { ledger.recordCrash(crash, it, timeSinceSent, ProcessClock.monotonic()) }
        recorded.forEach { part ->
            state.log.log(
                "prompt_part_suspected",
                "id" to call.requestId,
                "part" to part,
                "server" to crash.server,
                "ends" to ledger.crashCount(part),
            )
        }
        if (recorded.isNotEmpty()) withdrawFatal()
        return recorded.isNotEmpty()
    }

    /** Clears the parts of [call], as a server has begun to answer it. */
    fun onAnswerBegun(call: Call) {
        if (!ledger.hasSuspects) return
        trials.end(call)
        clearParts(call)
    }

    /** Clears the parts that other processes suspect and that occur in answers that this process is passing on. */
    private fun onReports() {
        answeredCalls().forEach(::clearParts)
        withdrawFatal()
    }

    /**
     * Withdraws the requests with fatal parts that were sent before the crashes. Requests that may not be repeated go on,
     * as their callers could not send them again if the part is harmless after all.
     */
    private fun withdrawFatal() {
        val now = ProcessClock.monotonic()
        calls
            .filter { !it.hasAnswerBegun && it.route.repeatable && trials.shouldWithdraw(it.sharedPromptParts, now) }
            .forEach { call ->
                val attempt = call.attempt ?: return@forEach
                attempt.withdraw("withdrawn because of a prompt part that crashes servers")
                state.log.log("request_withdrawn", "id" to call.requestId)
            }
    }

    private fun answeredCalls(): List<Call> = calls.filter { it.hasAnswerBegun }

    private fun clearParts(call: Call) =
        call.sharedPromptParts.forEach { part ->
            val cleared = ledger.recordCompletion(part, ProcessClock.monotonic())
            if (cleared.isNotEmpty()) {
                state.log.log("prompt_part_cleared", "id" to call.requestId, "part" to part, "ends" to cleared.size)
            }
        }
}
