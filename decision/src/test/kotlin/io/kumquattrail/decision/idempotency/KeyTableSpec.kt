package io.kumquattrail.decision.idempotency

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.refusal.RunState
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVER = ServerName("ledger-1")
private val START = WallTime(1_700_000_000_000)
private val NOW = MonotonicTime.ZERO
private val LATER = START + 60.seconds

private fun table(
    incarnation: Long = 1,
    startedAt: WallTime = START,
    limits: KeyTableLimits = KeyTableLimits(),
) = KeyTable(SERVER, Incarnation(high = 0, low = incarnation), startedAt, Random(incarnation), limits)

private fun callerKey(
    time: WallTime,
    low: Long = 0,
) = IdempotencyKey.Caller(high = (time.milliseconds shl 16) or 0x7000, low = low)

private fun attempt(
    key: IdempotencyKey,
    round: Int = 0,
    fingerprint: String = "transfer",
) = KeyAttempt(key, round, fingerprint, KeyOwner.Published(SERVER))

private fun answer(sizeBytes: Int = 10) = StoredAnswer(status = 200, headers = emptyMap(), body = ByteArray(sizeBytes))

private fun KeyTable.begin(attempt: KeyAttempt) = begin(attempt, NOW, LATER)

private fun unknown(cause: UnknownCause) = BeginResult.Unknown(cause)

class KeyTableSpec :
    DescribeSpec({
        val key = callerKey(START + 30.seconds)

        describe("a key that runs") {
            it("runs one attempt, which repeats must neither double nor overtake") {
                val table = table()
                table.begin(attempt(key)) shouldBe BeginResult.Run(round = 0)
                table.begin(attempt(key)) shouldBe BeginResult.InProgress
                table.release(attempt(key), NOW, LATER) shouldBe ReleaseResult.NotVoided
            }

            it("replays its answer to repeats, which must not run") {
                val table = table()
                val answer = answer()
                table.begin(attempt(key))
                table.complete(key, round = 0, answer, NOW) shouldBe true
                table.begin(attempt(key)) shouldBe BeginResult.Replay(answer)
                table.begin(attempt(key, fingerprint = "other")) shouldBe BeginResult.OtherBody
                table.release(attempt(key), NOW, LATER) shouldBe ReleaseResult.NotVoided
            }

            it("stays unknown once it was sent and its outcome is lost") {
                val table = table()
                table.begin(attempt(key))
                table.failedAfterSending(key, round = 0, NOW) shouldBe true
                table.failedBeforeSending(key, round = 0, NOW) shouldBe null
                table.begin(attempt(key)) shouldBe unknown(UnknownCause.OUTCOME_LOST)
                table.release(attempt(key), NOW, LATER) shouldBe ReleaseResult.NotVoided
            }
        }

        describe("a key that was refused") {
            it("runs only with the ticket of the latest refusal, so that no earlier attempt runs after a `run: no`") {
                val table = table()
                table.begin(attempt(key))
                table.failedBeforeSending(key, round = 0, NOW) shouldBe Ticket(key, round = 1)
                table.begin(attempt(key)) shouldBe BeginResult.Voided(Ticket(key, round = 2))
                table.begin(attempt(key, round = 1)) shouldBe BeginResult.Voided(Ticket(key, round = 3))
                table.begin(attempt(key, round = 9)) shouldBe unknown(UnknownCause.ROUND_NOT_ISSUED)
                table.begin(attempt(key, round = 3)) shouldBe BeginResult.Run(round = 3)
                table.complete(key, round = 0, answer(), NOW) shouldBe false
            }

            it("is voided by a release that overtakes the attempt") {
                val table = table()
                table.release(attempt(key), NOW, LATER) shouldBe ReleaseResult.Voided(Ticket(key, round = 1))
                table.begin(attempt(key)) shouldBe BeginResult.Voided(Ticket(key, round = 2))
            }

            it("gives a caller `run: no` with the ticket, and `unknown` to every other refusal") {
                val voided = BeginResult.Voided(Ticket(key, round = 1)).refusal()
                voided?.runState shouldBe RunState.NO
                voided?.ticket shouldBe "1.$key"
                (UnknownCause.entries.map(::unknown) + BeginResult.OtherBody + BeginResult.InProgress)
                    .map { it.refusal()?.runState }
                    .toSet() shouldBe setOf(RunState.UNKNOWN)
            }
        }

        describe("a key that this incarnation cannot know") {
            it("is unknown when another incarnation issued it, which may have run it") {
                val issued = table(incarnation = 1).issue(1).single()
                val successor = table(incarnation = 2)
                successor.issue(1)
                successor.begin(attempt(issued)) shouldBe BeginResult.OtherIncarnation
                successor.release(attempt(issued), NOW, LATER) shouldBe ReleaseResult.NotVoided
            }

            it("is unknown when it was never issued, which would let a caller raise the lowest known number") {
                val table = table()
                val issued = table.issue(1).single()
                table.begin(attempt(issued.copy(number = 1))) shouldBe unknown(UnknownCause.NUMBER_NOT_ISSUED)
            }

            it("is unknown when this agent does not own it or its records are unconfirmed") {
                val table = table()
                listOf(KeyOwner.Published(ServerName("other")), KeyOwner.NoGeneration, KeyOwner.RecordsUnconfirmed)
                    .map { table.begin(attempt(key).copy(owner = it)) } shouldBe
                    listOf(UnknownCause.OTHER_OWNER, UnknownCause.NO_GENERATION, UnknownCause.RECORDS_UNCONFIRMED)
                        .map(::unknown)
            }

            it("is not released when its time is in the future, as a successor could accept it after the `run: no`") {
                val future = callerKey(LATER + 2.seconds + 1.milliseconds)
                table().release(attempt(future), NOW, LATER) shouldBe ReleaseResult.NotVoided
                table().begin(attempt(future)) shouldBe unknown(UnknownCause.KEY_TIME_IN_FUTURE)
            }

            it("runs in at most one of two incarnations with clocks that differ by less than the bound") {
                val accepted =
                    (-1_999..1_999 step 111).flatMap { difference ->
                        (-6_000..6_000 step 37).filter { keyTime ->
                            val key = callerKey(LATER + keyTime.milliseconds)
                            val successorStart = LATER + difference.milliseconds
                            table().begin(attempt(key)) is BeginResult.Run &&
                                table(incarnation = 2, startedAt = successorStart)
                                    .begin(attempt(key), NOW, successorStart + 60.seconds) is BeginResult.Run
                        }
                    }
                accepted.shouldBeEmpty()
            }
        }

        describe("a full table") {
            val limits = KeyTableLimits(maximumEntries = 3, maximumBytes = 100)

            it("answers dropped keys as unknown, which a fresh entry would run again") {
                val table = table(limits = limits)
                val keys = table.issue(4) + (1..4).map { callerKey(START + (10 + it).seconds) }
                keys.forEach {
                    table.begin(attempt(it)) shouldBe BeginResult.Run(round = 0)
                    table.complete(it, round = 0, answer(), NOW)
                }
                table.size shouldBe 3
                keys.map { table.begin(attempt(it)) }.filterIsInstance<BeginResult.Run>().shouldBeEmpty()
                table.begin(attempt(keys.first())) shouldBe unknown(UnknownCause.ENTRY_DROPPED)
            }

            it("never drops a running key, which could then run twice") {
                val table = table(limits = limits)
                val running = table.issue(3)
                running.forEach { table.begin(attempt(it)) }
                table.begin(attempt(key)) shouldBe unknown(UnknownCause.TABLE_FULL)
                table.release(attempt(key), NOW, LATER) shouldBe ReleaseResult.NotVoided
                running.map { table.begin(attempt(it)) }.toSet() shouldBe setOf(BeginResult.InProgress)
            }

            it("keeps answers within the byte limit and remembers that a key ran whose answer is too large") {
                val table = table(limits = limits)
                val keys = table.issue(3)
                keys.forEach { table.begin(attempt(it)) }
                keys.zip(listOf(60, 60, 101)).forEach { (key, size) ->
                    table.complete(key, round = 0, answer(size), NOW)
                }
                table.storedBytes shouldBe 60
                table.begin(attempt(keys[0])) shouldBe unknown(UnknownCause.ENTRY_DROPPED)
                table.begin(attempt(keys[2])) shouldBe unknown(UnknownCause.ANSWER_NOT_KEPT)
            }
        }

        describe("every interleaving of eight operations on one key") {
            it("runs the key at most once and nothing that was sent before a `run: no`") {
                listOf(KeyKind.ISSUED, KeyKind.CALLER).forEach { kind ->
                    val exploration = KeyExploration(kind, steps = 8)
                    exploration.run()
                    exploration.violations.take(3).shouldBeEmpty()
                    exploration.sequences shouldBeGreaterThan 100_000
                }
            }
        }
    })
