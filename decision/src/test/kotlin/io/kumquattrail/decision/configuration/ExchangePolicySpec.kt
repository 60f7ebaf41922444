package io.kumquattrail.decision.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val start = MonotonicTime.ZERO

private fun peer(
    index: Int,
    subscription: RecordSubscription = RecordSubscription.ALL,
) = Peer(ProcessName("10.0.0.$index:7400"), ZoneName("zone-${index % 3}"), subscription)

private fun policy(
    index: Int = 0,
    seed: Int = 1,
    vararg known: RecordDelta,
) = ExchangePolicy(peer(index), ConfigurationState(testDecoder).apply { known.forEach(::apply) }, Random(seed))

private fun message(
    index: Int,
    revision: Long,
    delta: RecordDelta? = null,
    confirmed: Boolean = true,
) = ExchangeMessage(peer(index).name, revision, confirmed, delta = delta)

/** Returns a policy that has asked its peers and has records of revision 5 in effect. */
private fun running(peers: List<Peer>): ExchangePolicy =
    policy(0, 1, delta(0, 5, entry(5, "in"))).apply {
        start(start)
        var asked = peersChanged(peers, start).sends()
        while (isStarting) {
            asked = asked.flatMap { answered(ExchangeMessage(it.peer, 5, confirmed = true), start) }.sends()
        }
    }

private fun List<ExchangeAction>.sends() = filterIsInstance<ExchangeAction.Send>()

private fun List<ExchangeAction>.reads() = filterIsInstance<ExchangeAction.ReadService>()

/** Ticks the policy until [end]; every peer and the service are silent unless [react] answers an action. */
private fun ExchangePolicy.run(
    from: MonotonicTime,
    end: MonotonicTime,
    react: ExchangePolicy.(ExchangeAction, MonotonicTime) -> List<ExchangeAction> = { _, _ -> emptyList() },
): List<Pair<MonotonicTime, ExchangeAction>> {
    val performed = ArrayList<Pair<MonotonicTime, ExchangeAction>>()
    var now = from
    while (now < end) {
        var actions = tick(now)
        while (actions.isNotEmpty()) {
            performed += actions.map { now to it }
            actions = actions.flatMap { react(it, now) }
        }
        now = maxOf(now + 1.milliseconds, nextTick)
    }
    return performed
}

private fun readsPerFleet(
    processes: Int,
    span: Duration,
    peersKnown: Boolean,
): Map<Long, Int> {
    val peers = (0 until processes).map { peer(it) }
    return peers.indices
        .flatMap { index ->
            val policy = policy(index, seed = index)
            policy.start(start)
            if (peersKnown) policy.peersChanged(peers, start)
            policy.run(start, start + span) { action, now ->
                if (action is ExchangeAction.ReadService) serviceFailed(now) else emptyList()
            }
        }.filter { it.second is ExchangeAction.ReadService }
        .groupingBy { (it.first - start).inWholeSeconds }
        .eachCount()
}

class ExchangePolicySpec :
    DescribeSpec({
        val peers = (0 until 12).map { peer(it) }

        describe("a new process") {
            it("asks three peers before it reads the service, which may be stale") {
                val policy = policy()
                policy.start(start)
                val first = policy.peersChanged(peers, start)
                val asked = first.sends().map { it.peer }.toMutableSet()
                val performed = policy.run(start, start + 20.seconds)
                val firstRead = performed.indexOfFirst { it.second is ExchangeAction.ReadService }
                performed.take(firstRead).forEach { (_, action) ->
                    if (action is ExchangeAction.Send) {
                        asked +=
                            action.peer
                    }
                }
                asked.size shouldBeInRange 3..4
            }

            it("is confirmed by a confirmed peer and not by records of an unconfirmed one") {
                val policy = policy()
                policy.start(start)
                policy.peersChanged(peers, start)
                policy.answered(message(1, 5, delta(0, 5, entry(5, "in")), confirmed = false), start)
                policy.state.revision shouldBe 5
                policy.state.confirmed shouldBe false
                policy.answered(message(2, 5), start) shouldContain ExchangeAction.Confirmed
            }

            it("is not confirmed by a confirmed peer whose newer records it could not take over") {
                val policy = policy(0, 1, delta(0, 5, entry(5, "in")))
                policy.requested(message(1, 9, delta(7, 9, entry(9, "out"))), start)
                policy.state.revision shouldBe 5
                policy.state.confirmed shouldBe false
            }

            it("is not confirmed by a service that is frozen in an old state") {
                val policy = policy()
                policy.serviceAnswered(delta(0, 5, entry(5, "in")), start)
                policy.serviceAnswered(delta(5, 5), start + 10.minutes)
                policy.state.confirmed shouldBe false
                policy.serviceAnswered(delta(5, 6, entry(6, "out")), start + 11.minutes) shouldContain
                    ExchangeAction.Confirmed
            }
        }

        describe("a change") {
            it("is pushed at once with its records to peers other than its source") {
                val policy = running(peers)
                policy.requested(message(1, 6, delta(5, 6, entry(6, "out"))), start + 1.seconds)
                val pushed =
                    policy.requested(message(2, 7, delta(6, 7, entry(7, "in"))), start + 2.seconds).actions.sends()
                pushed shouldHaveSize 3
                pushed.map { it.peer }.contains(peer(2).name) shouldBe false
                pushed
                    .first()
                    .message.delta
                    ?.entries
                    ?.map { it.revision } shouldBe listOf(7L)
            }

            it("that is large is announced without records, so that no peer receives it several times") {
                val large = "x".repeat(20_000)
                val policy = running(peers)
                policy.requested(message(1, 6, delta(5, 6, entry(6, "out"))), start)
                val actions = policy.requested(message(2, 7, delta(6, 7, entry(7, large))), start + 1.seconds).actions
                actions
                    .sends()
                    .first()
                    .message.delta
                    .shouldBeNull()
            }

            it("that was announced is fetched once, although several peers announce it") {
                val policy = running(peers)
                val actions = (1..4).flatMap { policy.requested(message(it, 9), start).actions }
                actions.sends() shouldHaveSize 1
            }

            it("is not pushed again on the answer to a push, which would flood a peer that still fetches") {
                val policy = running(peers)
                policy.answered(message(3, 2), start).sends().shouldBeEmpty()
            }
        }

        describe("reads of the service") {
            it("are left to two readers in each zone") {
                val readers =
                    peers.indices.filter { index ->
                        policy(index).also { it.peersChanged(peers, start) }.isReader
                    }
                readers.groupingBy { it % 3 }.eachCount() shouldBe mapOf(0 to 2, 1 to 2, 2 to 2)
            }

            it("are left to gateways, as agents cannot supply them with organisations") {
                val mixed =
                    peers.indices.map {
                        peer(
                            it,
                            if (it <
                                6
                            ) {
                                RecordSubscription.ALL
                            } else {
                                RecordSubscription.AGENT
                            },
                        )
                    }
                val readers =
                    mixed.filter { candidate ->
                        val state = ConfigurationState(testDecoder, candidate.subscription)
                        ExchangePolicy(candidate, state, Random(1)).also { it.peersChanged(mixed, start) }.isReader
                    }
                readers.map { it.subscription }.distinct() shouldBe listOf(RecordSubscription.ALL)
            }

            it("of a fleet that restarts while the service is down stay far below 2,000 a second") {
                // First reads are spaced by 10 ms over the fleet, which is 100 a second, plus those of the readers.
                listOf(240, 480).forEach { processes ->
                    readsPerFleet(processes, span = 15.seconds, peersKnown = true).values.max() shouldBeLessThan 150
                }
            }

            it("of a fleet without a list of VMs do not come all at once") {
                val bySecond = readsPerFleet(processes = 240, span = 40.seconds, peersKnown = false)
                (0L..35L).maxOf { first -> (first until first + 5).sumOf { bySecond[it] ?: 0 } } shouldBeLessThan 5 * 30
            }

            it("happen without readers too, so that a partition without readers still learns of changes") {
                val policy = policy(0, 1, delta(0, 5, entry(5, "in")))
                policy.start(start)
                policy.peersChanged((1..11).map { peer(3 * it) }, start)
                policy.isReader shouldBe false
                policy
                    .run(start, start + 60.seconds)
                    .map { it.second }
                    .reads()
                    .size shouldBeInRange 1..3
            }
        }
    })
