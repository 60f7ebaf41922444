package io.kumquattrail.decision.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val PROCESSES = 24

/** Runs 24 detectors in three zones on virtual time; messages take 1 ms. */
private class SmallFleet(
    settings: FailureDetectorSettings = FailureDetectorSettings(),
) {
    private class Event(
        val at: MonotonicTime,
        val number: Int,
        val run: () -> Unit,
    )

    private val random = Random(5)
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private var scheduled = 0
    private var now = MonotonicTime.ZERO
    val names = (0 until PROCESSES).map { ProcessName("10.0.0.$it:7400") }
    val detectors =
        names.mapIndexed { index, name ->
            FailureDetector(name, zone(index), Incarnation.random(random), WallTime(1_000_000), Random(index), settings)
        }
    val stopped = HashSet<Int>()
    val paused = HashSet<Int>()
    var isCut: (Int, Int) -> Boolean = { _, _ -> false }
    val changes = ArrayList<Pair<Int, MemberChange>>()
    var largestUpdates = 0

    init {
        val listed = names.mapIndexed { index, name -> ListedProcess(name, zone(index)) }
        detectors.forEachIndexed { index, detector ->
            detector.listChanged(listed, now)
            detector.start(now)
            wake(index)
        }
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (events.isNotEmpty() && events.peek().at <= end) {
            val next = events.poll()
            now = next.at
            next.run()
        }
        now = end
    }

    fun resume(index: Int) {
        paused -= index
        perform(index, detectors[index].tick(now))
        wake(index)
    }

    fun states(
        observer: Int,
        process: Int,
    ) = detectors[observer].view.state(names[process])

    fun verdicts() = changes.filter { it.second.cause == ChangeCause.VERDICT }

    private fun zone(index: Int) = ZoneName("zone-${index % 3}")

    private fun at(
        time: MonotonicTime,
        run: () -> Unit,
    ) {
        scheduled += 1
        events += Event(time, scheduled, run)
    }

    private fun wake(index: Int) {
        at(maxOf(now + 1.milliseconds, detectors[index].nextTick)) {
            if (index !in stopped && index !in paused) {
                perform(index, detectors[index].tick(now))
                wake(index)
            }
        }
    }

    private fun perform(
        index: Int,
        actions: List<MembershipAction>,
    ) {
        actions.forEach { action ->
            if (action is MembershipAction.Changed) changes += index to action.change
            if (action is MembershipAction.Send) {
                val receiver = names.indexOf(action.peer)
                largestUpdates = maxOf(largestUpdates, action.message.header.updates.size)
                if (!isCut(index, receiver)) {
                    at(now + 1.milliseconds) {
                        if (receiver !in stopped && receiver !in paused) {
                            perform(receiver, detectors[receiver].received(action.message, now))
                        }
                    }
                }
            }
        }
    }
}

class FailureDetectorSpec :
    DescribeSpec({
        describe("a process that stops") {
            it("is dead in every view within 15 s, although only a few processes probe it") {
                val fleet = SmallFleet()
                fleet.run(5.seconds)
                fleet.stopped += 4
                fleet.run(15.seconds)
                fleet.names.indices
                    .filter { it != 4 && fleet.states(it, 4) != MemberState.DEAD }
                    .shouldBeEmpty()
            }

            it("and starts again is alive in every view, although a verdict about its address spreads") {
                val fleet = SmallFleet()
                fleet.run(5.seconds)
                fleet.isCut = { from, to -> from == 4 || to == 4 }
                fleet.run(15.seconds)
                fleet.states(0, 4) shouldBe MemberState.DEAD
                fleet.isCut = { _, _ -> false }
                fleet.run(40.seconds)
                fleet.names.indices
                    .filter { it != 4 && fleet.states(it, 4) != MemberState.ALIVE }
                    .shouldBeEmpty()
            }
        }

        describe("a process that is slow") {
            it("refutes a suspicion by raising its counter, so that no verdict follows") {
                val fleet = SmallFleet(FailureDetectorSettings(suspicionTime = 6.seconds))
                fleet.run(5.seconds)
                val before = fleet.detectors[4].counter
                fleet.paused += 4
                fleet.run(4.seconds)
                fleet.changes.filter { it.second.member.state == MemberState.SUSPECTED }.shouldNotBeEmpty()
                fleet.resume(4)
                fleet.run(20.seconds)
                fleet.detectors[4].counter shouldBeGreaterThan before
                fleet.verdicts().shouldBeEmpty()
                fleet.names.indices
                    .filter { it != 4 && fleet.states(it, 4) != MemberState.ALIVE }
                    .shouldBeEmpty()
            }

            it("that only one peer cannot reach is not suspected, as helpers reach it") {
                val fleet = SmallFleet()
                fleet.isCut = { from, to -> to == 4 && from % 8 == 1 }
                fleet.run(30.seconds)
                fleet.changes.filter { it.second.member.state == MemberState.SUSPECTED }.shouldBeEmpty()
            }
        }

        describe("an observer that is cut off") {
            it("alone suspects nobody, as no helper confirms that others are silent") {
                val fleet = SmallFleet()
                fleet.run(5.seconds)
                fleet.isCut = { from, to -> from == 4 || to == 4 }
                fleet.run(60.seconds)
                fleet.changes.filter { it.first == 4 }.shouldBeEmpty()
            }

            listOf<Pair<String, (Int) -> Boolean>>(
                "in a half of the fleet" to { it < PROCESSES / 2 },
                "from a whole zone" to { it % 3 == 0 },
            ).forEach { (name, isOnFirstSide) ->
                it("$name gives no verdict, and all views recover after the partition") {
                    val fleet = SmallFleet()
                    fleet.run(5.seconds)
                    fleet.isCut = { from, to -> isOnFirstSide(from) != isOnFirstSide(to) }
                    fleet.run(60.seconds)
                    fleet.verdicts().shouldBeEmpty()
                    fleet.changes.filter { it.second.member.state == MemberState.SUSPECTED }.shouldNotBeEmpty()
                    fleet.isCut = { _, _ -> false }
                    fleet.run(60.seconds)
                    fleet.detectors
                        .flatMap { it.view.members.values }
                        .filter { it.state != MemberState.ALIVE }
                        .shouldBeEmpty()
                    fleet.largestUpdates shouldBeLessThanOrEqual 7
                }
            }

            it("by its own pause does not take the expired timers for silence of its peers") {
                val fleet = SmallFleet()
                fleet.run(5.seconds)
                fleet.stopped += 4
                fleet.run(2.seconds)
                fleet.paused += fleet.names.indices.filter { it != 4 }
                fleet.run(30.seconds)
                fleet.names.indices
                    .filter { it != 4 }
                    .forEach { fleet.resume(it) }
                fleet.run(1.seconds)
                fleet.verdicts().shouldBeEmpty()
            }
        }

        describe("the published list of VMs") {
            fun view() = MembershipView(ProcessName("self"))
            val other = ProcessName("other")
            val incarnation = Incarnation(1, 1)

            it("takes a leaving VM out and returns it") {
                val view = view()
                view.listChanged(listOf(ListedProcess(other, ZoneName("z"), isLeaving = true)))
                view.heardFrom(other, incarnation, counter = 5, zone = null)
                view.state(other) shouldBe MemberState.LEAVING
                view.listChanged(listOf(ListedProcess(other, ZoneName("z"))))
                view.state(other) shouldBe MemberState.ALIVE
            }

            it("does not remove a process that answers, as the list lags") {
                val view = view()
                view.listChanged(listOf(ListedProcess(other, ZoneName("z"))))
                view.listChanged(emptyList()) { true }
                view.state(other) shouldBe MemberState.ALIVE
            }

            it("does not revive a process with a verdict, and neither does a message that was under way") {
                val view = view()
                view.listChanged(listOf(ListedProcess(other, ZoneName("z"))))
                view.heardFrom(other, incarnation, counter = 5, zone = null)
                view.merge(MemberUpdate(other, incarnation, 5, MemberState.DEAD))
                view.listChanged(listOf(ListedProcess(other, ZoneName("z"))))
                view.heardFrom(other, incarnation, counter = 5, zone = null)
                view.state(other) shouldBe MemberState.DEAD
                view.heardFrom(other, incarnation, counter = 6, zone = null)
                view.state(other) shouldBe MemberState.ALIVE
            }

            it("is not needed to ignore old gossip about the previous incarnation of an address") {
                val view = view()
                view.heardFrom(other, Incarnation(2, 2), counter = 9_000, zone = null)
                view.merge(MemberUpdate(other, incarnation, 5_001, MemberState.DEAD))
                view.state(other) shouldBe MemberState.ALIVE
            }
        }
    })
