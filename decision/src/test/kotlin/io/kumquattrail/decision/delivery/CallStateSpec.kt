package io.kumquattrail.decision.delivery

import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.idempotency.IdempotencyKey
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.refusal.Refusal
import io.kumquattrail.decision.refusal.RefusalReason
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FIRST = ServerName("server-1")
private val OWNER = ServerName("ledger-1")
private val KEY = IdempotencyKey.parse("018f2c3a-7b1c-7d2e-8f00-112233445566").getOrElse { error("$it") }
private val OVERLOADED = FrameContent.NotRun(RefusalReason.OVERLOADED)

/** Drives one call and keeps its latest actions. */
private class Driver(
    kind: WorkKind,
    permission: RetryPermission = RetryPermission { true },
    round: Int = 0,
) {
    val state =
        CallState(
            Call(
                requestId = "request",
                kind = kind,
                deadline = MonotonicTime.ZERO + 10.seconds,
                keyed = KeyedCall(KEY, OWNER, round).takeIf { kind == WorkKind.KEYED },
            ),
            RetryPolicy(permission),
        )
    var now = MonotonicTime.ZERO
    var actions: List<CallAction> = emptyList()
    val sent: CallAction.SendAttempt get() = actions.filterIsInstance<CallAction.SendAttempt>().single()
    val refusal: Refusal get() = actions.filterIsInstance<CallAction.Refuse>().single().refusal

    fun on(event: CallEvent): Driver = apply { actions = state.handle(event, now) }

    fun frame(
        content: FrameContent,
        attempt: Int = 1,
        incarnation: Long = 1,
        requestId: String = "request",
    ): Driver = on(CallEvent.FrameArrived(Frame(requestId, attempt, Incarnation(0, incarnation), content)))

    fun started(): Driver =
        on(CallEvent.Start).on(CallEvent.ServerChosen(attempt = 1, server = FIRST, incarnation = Incarnation(0, 1)))
}

private fun chunk(
    offset: Int,
    sequence: Int = offset,
) = FrameContent.Chunk(sequence.toLong(), offset, tokenCount = 1, "t".toByteArray())

private fun notRun(
    reason: RefusalReason,
    ticketRound: Int? = null,
) = FrameContent.NotRun(reason, ticketRound = ticketRound, keyNotRun = ticketRound != null)

class CallStateSpec :
    DescribeSpec({
        describe("a repeatable call") {
            it("resumes a broken stream on another server after the written tokens") {
                val call = Driver(WorkKind.REPEATABLE).started()
                call.frame(FrameContent.Started(status = 200)).frame(chunk(0)).frame(chunk(1))
                call.frame(FrameContent.Broken()).sent.let {
                    it.attempt shouldBe 2
                    it.excluded shouldBe setOf(FIRST)
                    it.resumeAfterTokens shouldBe 2
                }
            }

            it("drops frames of earlier attempts, other requests and other incarnations, which would mix answers") {
                val call = Driver(WorkKind.REPEATABLE).started().on(CallEvent.ConnectionLost(1))
                call.frame(FrameContent.Started(status = 200), attempt = 2, incarnation = 7)
                call.frame(chunk(0), attempt = 1, incarnation = 7).actions.shouldBeEmpty()
                call.frame(chunk(0), attempt = 2, incarnation = 8).actions.shouldBeEmpty()
                call.frame(chunk(0), attempt = 2, incarnation = 7, requestId = "other").actions.shouldBeEmpty()
                call
                    .frame(chunk(0), attempt = 2, incarnation = 7)
                    .actions
                    .filterIsInstance<CallAction.Write>()
                    .size shouldBe 2
            }

            it("refuses with `run: no` only while every attempt is proved not to have run") {
                val proved = Driver(WorkKind.REPEATABLE).started().frame(OVERLOADED)
                proved.on(CallEvent.NoServer(attempt = 2)).refusal.runState shouldBe RunState.NO
                val lost = Driver(WorkKind.REPEATABLE).started().on(CallEvent.AttemptTimedOut(1))
                lost.on(CallEvent.NoServer(attempt = 2)).refusal.runState shouldBe RunState.UNKNOWN
                val running = Driver(WorkKind.REPEATABLE).started()
                running.on(CallEvent.DeadlinePassed).refusal.runState shouldBe RunState.UNKNOWN
            }

            it("does not retry without permission or after the deadline, which would multiply an overload") {
                Driver(WorkKind.REPEATABLE, permission = { false })
                    .started()
                    .frame(OVERLOADED)
                    .refusal
                    .reason shouldBe RefusalReason.OVERLOADED
                val late = Driver(WorkKind.REPEATABLE).started()
                late.now += 10.seconds
                late.frame(OVERLOADED).refusal.runState shouldBe RunState.NO
            }

            it("breaks an answer off visibly when it cannot be completed") {
                val call = Driver(WorkKind.REPEATABLE, permission = { false }).started()
                call.frame(FrameContent.Started(status = 200)).frame(chunk(0)).frame(FrameContent.Broken())
                call.actions.single().shouldBeInstanceOf<CallAction.BreakOff>()
                call.frame(chunk(1)).actions.shouldBeEmpty()
            }

            it("cancels its attempt when the caller is gone") {
                Driver(WorkKind.REPEATABLE).started().on(CallEvent.CallerGone).actions shouldBe
                    listOf(CallAction.CancelAttempt(1))
            }
        }

        describe("an unrepeatable call without a key") {
            it("is never sent again after it may have run") {
                listOf(
                    CallEvent.ConnectionLost(1),
                    CallEvent.FrameArrived(Frame("request", 1, Incarnation(0, 1), FrameContent.Broken())),
                    // A restarted agent does not know what its predecessor ran.
                    CallEvent.FrameArrived(Frame("request", 1, Incarnation(0, 2), OVERLOADED)),
                ).forEach { event ->
                    Driver(WorkKind.SINGLE)
                        .started()
                        .on(event)
                        .refusal.runState shouldBe RunState.UNKNOWN
                }
            }

            it("waits for its answer beyond the attempt's time") {
                Driver(WorkKind.SINGLE)
                    .started()
                    .on(CallEvent.AttemptTimedOut(1))
                    .actions
                    .shouldBeEmpty()
            }

            it("is sent to another server after proof that it was not run") {
                Driver(WorkKind.SINGLE)
                    .started()
                    .frame(OVERLOADED)
                    .sent.excluded shouldBe setOf(FIRST)
                Driver(WorkKind.SINGLE)
                    .started()
                    .on(CallEvent.ConnectionFailed(1))
                    .sent.attempt shouldBe 2
            }
        }

        describe("a call with a key") {
            it("goes only to the owner, also after its attempt may have run") {
                val call = Driver(WorkKind.KEYED).started().on(CallEvent.AttemptTimedOut(1))
                call.sent.owner shouldBe OWNER
                call.sent.round shouldBe 0
                call.sent.delay shouldBe 20.milliseconds
            }

            it("uses the ticket of its own refusal, and leaves that of another sender's to the caller") {
                val own = Driver(WorkKind.KEYED).started().frame(notRun(RefusalReason.OVERLOADED, ticketRound = 1))
                own.sent.round shouldBe 1
                // Attempts with rounds in between belong to a caller that may have been told `run: no`.
                listOf(
                    notRun(RefusalReason.KEY_REFUSED_BEFORE, ticketRound = 2),
                    notRun(RefusalReason.OVERLOADED, ticketRound = 2),
                ).forEach {
                    val refusal = Driver(WorkKind.KEYED).started().frame(it).refusal
                    refusal.runState shouldBe RunState.NO
                    refusal.ticket shouldBe "2.$KEY"
                }
            }

            it("asks again in the same round after a refusal that the key table has not seen") {
                val call = Driver(WorkKind.KEYED, round = 2).started()
                call.frame(notRun(RefusalReason.NOT_READY)).sent.round shouldBe 2
            }

            it("waits for an attempt in progress and otherwise answers `unknown` without the owner's word") {
                val call = Driver(WorkKind.KEYED, round = 3).started()
                call.frame(notRun(RefusalReason.KEY_IN_PROGRESS)).sent.round shouldBe 3
                call.on(CallEvent.DeadlinePassed).refusal.runState shouldBe RunState.UNKNOWN
                listOf(RefusalReason.KEY_OUTCOME_UNKNOWN, RefusalReason.KEY_REUSED).forEach {
                    val refusal = Driver(WorkKind.KEYED).started().frame(notRun(it)).refusal
                    refusal.runState shouldBe RunState.UNKNOWN
                }
                val unreachable = Driver(WorkKind.KEYED, permission = { false }).started()
                unreachable.on(CallEvent.ConnectionFailed(1)).refusal.let {
                    it.reason shouldBe RefusalReason.KEY_OWNER_UNREACHABLE
                    it.runState shouldBe RunState.UNKNOWN
                }
            }

            it("states `run: no` for a local refusal only once the owner has voided the key") {
                val limited = Refusal(RefusalReason.ORGANISATION_LIMIT, RunState.NO, "limit")
                val call = Driver(WorkKind.KEYED).on(CallEvent.RefusedLocally(limited))
                call.actions shouldBe listOf(CallAction.ReleaseKey(OWNER, round = 0))
                call.on(CallEvent.ReleaseAnswered(ticketRound = 4)).refusal shouldBe limited.copy(ticket = "4.$KEY")
                listOf(CallEvent.ReleaseFailed, CallEvent.ReleaseAnswered(null), CallEvent.DeadlinePassed).forEach {
                    val refusal = Driver(WorkKind.KEYED).on(CallEvent.RefusedLocally(limited)).on(it).refusal
                    refusal.runState shouldBe RunState.UNKNOWN
                }
            }

            it("stops asking the owner before its deadline") {
                val call = Driver(WorkKind.KEYED).started()
                var attempts = 1
                while (!call.state.ended) {
                    call.frame(notRun(RefusalReason.KEY_IN_PROGRESS), attempt = attempts++)
                    val delay =
                        call.actions
                            .filterIsInstance<CallAction.SendAttempt>()
                            .singleOrNull()
                            ?.delay
                    call.now += delay ?: Duration.ZERO
                }
                call.refusal.reason shouldBe RefusalReason.KEY_IN_PROGRESS
                (call.now < MonotonicTime.ZERO + 10.seconds) shouldBe true
            }
        }
    })
