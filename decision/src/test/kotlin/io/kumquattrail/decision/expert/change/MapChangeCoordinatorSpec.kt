package io.kumquattrail.decision.expert.change

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val RANKS = 2
private val NOW = MonotonicTime.ZERO
private val OWN = Incarnation(0, 9)
private val EMPTY_MAP = ExpertMap(persistentListOf())

private fun version(counter: Long) = MapVersion(ProposalNumber(counter, Incarnation(0, 1)))

private val HEAD = CommittedMap(version(1), 10)

private fun coordinator() = MapChangeCoordinator(RANKS, OWN, Random(1))

private fun List<MapChangeAction>.requests() = filterIsInstance<MapChangeAction.Send>().map { it.request }

private fun answer(
    rank: Int,
    request: MapRequest,
    report: GuardReport,
    refusal: MapRefusal? = null,
) = MapAnswer(rank, Incarnation(1, rank.toLong()), request.proposal, request.kind, refusal, report)

/** Answers [request] for every rank with the rank's report and returns what the coordinator then does. */
private fun MapChangeCoordinator.answerAll(
    request: MapRequest,
    vararg reports: GuardReport,
): List<MapChangeAction> = reports.flatMapIndexed { rank, report -> receive(answer(rank, request, report), NOW) }

private val IDLE = GuardReport(head = HEAD, nextStep = 100, firstFreeStep = 116)

/** Brings a coordinator to the point where it has asked all ranks for a promise; returns it with the request. */
private fun scheduling(): Pair<MapChangeCoordinator, Schedule> {
    val coordinator = coordinator()
    coordinator.answerAll(coordinator.activate(NOW).requests().first(), IDLE, IDLE)
    val query = coordinator.propose(HEAD.version, EMPTY_MAP, NOW).requests().first()
    val prepare =
        coordinator
            .answerAll(query, IDLE, IDLE)
            .requests()
            .filterIsInstance<Prepare>()
            .first()
    val loaded = IDLE.copy(pending = prepare.map.version, pendingLoaded = true)
    val actions = coordinator.answerAll(prepare, loaded, loaded)
    return coordinator to actions.requests().filterIsInstance<Schedule>().first()
}

class MapChangeCoordinatorSpec :
    DescribeSpec({
        describe("a round") {
            it("completes a commit that only one rank has seen, which that rank may already use") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val waiting = IDLE.copy(pending = version(2), pendingLoaded = true, pendingStep = 150)
                val committed = IDLE.copy(head = CommittedMap(version(2), 150), previous = HEAD)
                val commits = coordinator.answerAll(query, waiting, committed).requests().filterIsInstance<Commit>()
                commits.map { it.committed } shouldContain CommittedMap(version(2), 150)
            }

            it("aborts a promised change that no rank has seen committed, so that ranks do not wait for ever") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val waiting = IDLE.copy(pending = version(2), pendingLoaded = true, pendingStep = 150)
                coordinator
                    .answerAll(query, waiting, IDLE)
                    .requests()
                    .filterIsInstance<Abort>()
                    .shouldNotBeEmpty()
            }

            it("decides nothing before every rank has answered, since the missing one may know of a commit") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                coordinator.receive(answer(0, query, IDLE.copy(pending = version(2))), NOW).shouldBeEmpty()
            }

            it("raises its number above that of another coordinator, which would otherwise refuse it for ever") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val other = GuardReport(promised = ProposalNumber(40, Incarnation(0, 7)))
                coordinator.receive(answer(0, query, other, MapRefusal.PROMISED_HIGHER), NOW)
                coordinator
                    .tick(NOW + 1.seconds)
                    .requests()
                    .first()
                    .proposal.counter shouldBeGreaterThan 40
            }
        }

        describe("a change") {
            it("commits only after every rank has promised, since one that has not may run the step with the old map") {
                val (coordinator, schedule) = scheduling()
                coordinator.receive(answer(0, schedule, IDLE), NOW).requests().shouldBeEmpty()
                val actions = coordinator.receive(answer(1, schedule, IDLE), NOW)
                actions.requests().filterIsInstance<Commit>().size shouldBe RANKS
            }

            it("does not count a repeated promise of one rank as that of another") {
                val (coordinator, schedule) = scheduling()
                coordinator.receive(answer(0, schedule, IDLE), NOW)
                coordinator.receive(answer(0, schedule, IDLE), NOW).requests().shouldBeEmpty()
            }

            it("is aborted when a rank finds the step too early, and then scheduled later") {
                val (coordinator, schedule) = scheduling()
                val refused = coordinator.receive(answer(1, schedule, IDLE, MapRefusal.STEP_TOO_EARLY), NOW)
                val abort = refused.requests().filterIsInstance<Abort>().first()
                coordinator.answerAll(abort, IDLE, IDLE)
                val query = coordinator.propose(HEAD.version, EMPTY_MAP, NOW).requests().first()
                val prepare =
                    coordinator
                        .answerAll(query, IDLE, IDLE)
                        .requests()
                        .filterIsInstance<Prepare>()
                        .first()
                val loaded = IDLE.copy(pending = prepare.map.version, pendingLoaded = true)
                val again =
                    coordinator
                        .answerAll(
                            prepare,
                            loaded,
                            loaded,
                        ).requests()
                        .filterIsInstance<Schedule>()
                        .first()
                again.step shouldBeGreaterThan schedule.step
            }

            it("is not begun from another map than the one it was planned from") {
                val coordinator = coordinator()
                coordinator.answerAll(coordinator.activate(NOW).requests().first(), IDLE, IDLE)
                val query = coordinator.propose(version(7), EMPTY_MAP, NOW).requests().first()
                val ended = coordinator.answerAll(query, IDLE, IDLE).filterIsInstance<MapChangeAction.Ended>().single()
                ended.outcome shouldBe MapChangeOutcome.Aborted(MapChangeAbortReason.OtherBase(HEAD))
            }
        }
    })
