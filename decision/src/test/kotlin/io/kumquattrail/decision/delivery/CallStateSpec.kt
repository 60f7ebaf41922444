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

private val SERVER = ServerName("server-1")
private val OWNER = ServerName("ledger-1")
private val KEY = IdempotencyKey.parse("018f2c3a-7b1c-7d2e-8f00-112233445566").getOrElse { error("$it") }
private val OVERLOADED = FrameContent.NotRun(RefusalReason.OVERLOADED)

/** Passes events to the state of one call and keeps the actions that the last event caused. */
private class CallDriver(
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

    fun on(event: CallEvent): CallDriver = apply { actions = state.handle(event, now) }

    fun frame(
        content: FrameContent,
        attempt: Int = 1,
        incarnation: Long = 1,
        requestId: String = "request",
    ): CallDriver = on(CallEvent.FrameArrived(Frame(requestId, attempt, Incarnation(0, incarnation), content)))

    fun started(): CallDriver =
        on(CallEvent.Start).on(CallEvent.ServerChosen(attempt = 1, server = SERVER, incarnation = Incarnation(0, 1)))
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
            it("a repeatable call resumes a broken stream on another server after the tokens already written") {
                val call = CallDriver(WorkKind.REPEATABLE).started()
                call.frame(FrameContent.Started(status = 200)).frame(chunk(0)).frame(chunk(1))
                call.frame(FrameContent.Broken()).sent.let {
                    it.attempt shouldBe 2
                    it.excluded shouldBe setOf(SERVER)
                    it.resumeAfterTokens shouldBe 2
                }
            }

            it("a repeatable call ignores frames of earlier attempts, other requests and other incarnations") {
                // Such frames would mix parts of different responses.
                val call = CallDriver(WorkKind.REPEATABLE).started().on(CallEvent.ConnectionLost(1))
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

            it("a repeatable call is refused with `run: no` only if every attempt is proved not to have run") {
                val proved = CallDriver(WorkKind.REPEATABLE).started().frame(OVERLOADED)
                proved.on(CallEvent.NoServer(attempt = 2)).refusal.runState shouldBe RunState.NO
                val lost = CallDriver(WorkKind.REPEATABLE).started().on(CallEvent.AttemptTimedOut(1))
                lost.on(CallEvent.NoServer(attempt = 2)).refusal.runState shouldBe RunState.UNKNOWN
                val running = CallDriver(WorkKind.REPEATABLE).started()
                running.on(CallEvent.DeadlinePassed).refusal.runState shouldBe RunState.UNKNOWN
            }

            it("a repeatable call is not retried without permission or after its deadline, to limit overload") {
                CallDriver(WorkKind.REPEATABLE, permission = { false })
                    .started()
                    .frame(OVERLOADED)
                    .refusal
                    .reason shouldBe RefusalReason.OVERLOADED
                val late = CallDriver(WorkKind.REPEATABLE).started()
                late.now += 10.seconds
                late.frame(OVERLOADED).refusal.runState shouldBe RunState.NO
            }

            it("a repeatable call whose response has started and cannot be completed is aborted instead of refused") {
                val call = CallDriver(WorkKind.REPEATABLE, permission = { false }).started()
                call.frame(FrameContent.Started(status = 200)).frame(chunk(0)).frame(FrameContent.Broken())
                call.actions.single().shouldBeInstanceOf<CallAction.AbortResponse>()
                call.frame(chunk(1)).actions.shouldBeEmpty()
            }

            it("a repeatable call cancels its attempt when its caller disconnects") {
                CallDriver(WorkKind.REPEATABLE).started().on(CallEvent.CallerDisconnected).actions shouldBe
                    listOf(CallAction.CancelAttempt(1))
            }
        }

        describe("an unrepeatable call without a key") {
            it("an unrepeatable call without a key is never sent again after it may have run") {
                listOf(
                    CallEvent.ConnectionLost(1),
                    CallEvent.FrameArrived(Frame("request", 1, Incarnation(0, 1), FrameContent.Broken())),
                    // A restarted agent has no record of what its previous incarnation ran.
                    CallEvent.FrameArrived(Frame("request", 1, Incarnation(0, 2), OVERLOADED)),
                ).forEach { event ->
                    CallDriver(WorkKind.SINGLE)
                        .started()
                        .on(event)
                        .refusal.runState shouldBe RunState.UNKNOWN
                }
            }

            it("an unrepeatable call without a key waits for its response after the attempt has timed out") {
                CallDriver(WorkKind.SINGLE)
                    .started()
                    .on(CallEvent.AttemptTimedOut(1))
                    .actions
                    .shouldBeEmpty()
            }

            it("an unrepeatable call without a key is sent to another server if it is proved not to have run") {
                CallDriver(WorkKind.SINGLE)
                    .started()
                    .frame(OVERLOADED)
                    .sent.excluded shouldBe setOf(SERVER)
                CallDriver(WorkKind.SINGLE)
                    .started()
                    .on(CallEvent.ConnectionFailed(1))
                    .sent.attempt shouldBe 2
            }
        }

        describe("a call with a key") {
            it("a keyed call is retried at the key's owner only, also after its attempt may have run") {
                val call = CallDriver(WorkKind.KEYED).started().on(CallEvent.AttemptTimedOut(1))
                call.sent.owner shouldBe OWNER
                call.sent.round shouldBe 0
                call.sent.delay shouldBe 20.milliseconds
            }

            it("a keyed call uses the ticket of its own refusal, but not that of another sender's refusal") {
                val call = CallDriver(WorkKind.KEYED).started().frame(notRun(RefusalReason.OVERLOADED, ticketRound = 1))
                call.sent.round shouldBe 1
                // The round in between belongs to another sender, whose caller may have received `run: no`.
                listOf(
                    notRun(RefusalReason.KEY_REFUSED_BEFORE, ticketRound = 2),
                    notRun(RefusalReason.OVERLOADED, ticketRound = 2),
                ).forEach {
                    val refusal = CallDriver(WorkKind.KEYED).started().frame(it).refusal
                    refusal.runState shouldBe RunState.NO
                    refusal.ticket shouldBe "2.$KEY"
                }
            }

            it("a keyed call keeps its round after a refusal that did not involve the key table") {
                val call = CallDriver(WorkKind.KEYED, round = 2).started()
                call.frame(notRun(RefusalReason.NOT_READY)).sent.round shouldBe 2
            }

            it(
                "a keyed call waits for a run in progress and is refused with `run: unknown` without the owner's proof",
            ) {
                val call = CallDriver(WorkKind.KEYED, round = 3).started()
                call.frame(notRun(RefusalReason.KEY_IN_PROGRESS)).sent.round shouldBe 3
                call.on(CallEvent.DeadlinePassed).refusal.runState shouldBe RunState.UNKNOWN
                listOf(RefusalReason.KEY_OUTCOME_UNKNOWN, RefusalReason.KEY_REUSED).forEach {
                    val refusal = CallDriver(WorkKind.KEYED).started().frame(notRun(it)).refusal
                    refusal.runState shouldBe RunState.UNKNOWN
                }
                val unreachable = CallDriver(WorkKind.KEYED, permission = { false }).started()
                unreachable.on(CallEvent.ConnectionFailed(1)).refusal.let {
                    it.reason shouldBe RefusalReason.KEY_OWNER_UNREACHABLE
                    it.runState shouldBe RunState.UNKNOWN
                }
            }

            it("a locally refused keyed call is refused with `run: no` only after the owner has voided its key") {
                val limited = Refusal(RefusalReason.ORGANISATION_LIMIT, RunState.NO, "limit")
                val call = CallDriver(WorkKind.KEYED).on(CallEvent.RefusedLocally(limited))
                call.actions shouldBe listOf(CallAction.ReleaseKey(OWNER, round = 0))
                call.on(CallEvent.ReleaseAnswered(ticketRound = 4)).refusal shouldBe limited.copy(ticket = "4.$KEY")
                listOf(CallEvent.ReleaseFailed, CallEvent.ReleaseAnswered(null), CallEvent.DeadlinePassed).forEach {
                    val refusal = CallDriver(WorkKind.KEYED).on(CallEvent.RefusedLocally(limited)).on(it).refusal
                    refusal.runState shouldBe RunState.UNKNOWN
                }
            }

            it("a keyed call stops retrying at the key's owner before its deadline") {
                val call = CallDriver(WorkKind.KEYED).started()
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
