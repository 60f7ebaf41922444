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
private val COORDINATOR = Incarnation(0, 9)
private val EMPTY_MAP = ExpertMap(persistentListOf())

private fun version(counter: Long) = MapVersion(ProposalNumber(counter, Incarnation(0, 1)))

private val HEAD = CommittedMap(version(1), 10)

private fun coordinator() = MapChangeCoordinator(RANKS, COORDINATOR, Random(1))

private fun List<MapChangeAction>.requests() = filterIsInstance<MapChangeAction.Send>().map { it.request }

private fun answer(
    rank: Int,
    request: MapRequest,
    report: GuardReport,
    refusal: MapRefusal? = null,
) = MapAnswer(rank, Incarnation(1, rank.toLong()), request.proposal, request.kind, refusal, report)

/** Answers [request] for every rank with its entry of [reports] and returns the resulting actions. */
private fun MapChangeCoordinator.answerAll(
    request: MapRequest,
    vararg reports: GuardReport,
): List<MapChangeAction> = reports.flatMapIndexed { rank, report -> receive(answer(rank, request, report), NOW) }

private val IDLE_REPORT = GuardReport(head = HEAD, nextStep = 100, firstUnpermittedStep = 116)

/** Returns a coordinator that has requested a promise from all ranks, together with the request. */
private fun schedulingCoordinator(): Pair<MapChangeCoordinator, Schedule> {
    val coordinator = coordinator()
    coordinator.answerAll(coordinator.activate(NOW).requests().first(), IDLE_REPORT, IDLE_REPORT)
    val query = coordinator.propose(HEAD.version, EMPTY_MAP, NOW).requests().first()
    val prepare =
        coordinator
            .answerAll(query, IDLE_REPORT, IDLE_REPORT)
            .requests()
            .filterIsInstance<Prepare>()
            .first()
    val loadedReport = IDLE_REPORT.copy(pending = prepare.map.version, pendingLoaded = true)
    val actions = coordinator.answerAll(prepare, loadedReport, loadedReport)
    return coordinator to actions.requests().filterIsInstance<Schedule>().first()
}

class MapChangeCoordinatorSpec :
    DescribeSpec({
        describe("a round") {
            it("a round completes a commit that only one rank has received, since that rank may already use the map") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val promisedReport = IDLE_REPORT.copy(pending = version(2), pendingLoaded = true, pendingStep = 150)
                val committedReport = IDLE_REPORT.copy(head = CommittedMap(version(2), 150), previous = HEAD)
                val commits =
                    coordinator
                        .answerAll(
                            query,
                            promisedReport,
                            committedReport,
                        ).requests()
                        .filterIsInstance<Commit>()
                commits.map { it.committed } shouldContain CommittedMap(version(2), 150)
            }

            it("a round aborts a promised change that no rank has committed, so that ranks do not wait for ever") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val promisedReport = IDLE_REPORT.copy(pending = version(2), pendingLoaded = true, pendingStep = 150)
                coordinator
                    .answerAll(query, promisedReport, IDLE_REPORT)
                    .requests()
                    .filterIsInstance<Abort>()
                    .shouldNotBeEmpty()
            }

            it("a round changes nothing before every rank has answered, since any other may have received a commit") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                coordinator.receive(answer(0, query, IDLE_REPORT.copy(pending = version(2))), NOW).shouldBeEmpty()
            }

            it("a refused coordinator raises its number above the promised one, so as not to be refused for ever") {
                val coordinator = coordinator()
                val query = coordinator.activate(NOW).requests().first()
                val higherPromise = GuardReport(promised = ProposalNumber(40, Incarnation(0, 7)))
                coordinator.receive(answer(0, query, higherPromise, MapRefusal.PROMISED_HIGHER), NOW)
                coordinator
                    .tick(NOW + 1.seconds)
                    .requests()
                    .first()
                    .proposal.counter shouldBeGreaterThan 40
            }
        }

        describe("a change") {
            it("a change commits only after all ranks have promised, since others may run the step with the old map") {
                val (coordinator, schedule) = schedulingCoordinator()
                coordinator.receive(answer(0, schedule, IDLE_REPORT), NOW).requests().shouldBeEmpty()
                val actions = coordinator.receive(answer(1, schedule, IDLE_REPORT), NOW)
                actions.requests().filterIsInstance<Commit>().size shouldBe RANKS
            }

            it("a repeated promise of one rank is not counted as the promise of another rank") {
                val (coordinator, schedule) = schedulingCoordinator()
                coordinator.receive(answer(0, schedule, IDLE_REPORT), NOW)
                coordinator.receive(answer(0, schedule, IDLE_REPORT), NOW).requests().shouldBeEmpty()
            }

            it("a change that a rank refuses as too early is aborted, and the next one is scheduled at a later step") {
                val (coordinator, schedule) = schedulingCoordinator()
                val refusalActions =
                    coordinator.receive(
                        answer(1, schedule, IDLE_REPORT, MapRefusal.STEP_TOO_EARLY),
                        NOW,
                    )
                val abort = refusalActions.requests().filterIsInstance<Abort>().first()
                coordinator.answerAll(abort, IDLE_REPORT, IDLE_REPORT)
                val query = coordinator.propose(HEAD.version, EMPTY_MAP, NOW).requests().first()
                val prepare =
                    coordinator
                        .answerAll(query, IDLE_REPORT, IDLE_REPORT)
                        .requests()
                        .filterIsInstance<Prepare>()
                        .first()
                val loadedReport = IDLE_REPORT.copy(pending = prepare.map.version, pendingLoaded = true)
                val rescheduled =
                    coordinator
                        .answerAll(
                            prepare,
                            loadedReport,
                            loadedReport,
                        ).requests()
                        .filterIsInstance<Schedule>()
                        .first()
                rescheduled.step shouldBeGreaterThan schedule.step
            }

            it("a change is aborted if the group uses another map than the one that the change was planned from") {
                val coordinator = coordinator()
                coordinator.answerAll(coordinator.activate(NOW).requests().first(), IDLE_REPORT, IDLE_REPORT)
                val query = coordinator.propose(version(7), EMPTY_MAP, NOW).requests().first()
                val ended =
                    coordinator
                        .answerAll(
                            query,
                            IDLE_REPORT,
                            IDLE_REPORT,
                        ).filterIsInstance<MapChangeAction.Ended>()
                        .single()
                ended.outcome shouldBe MapChangeOutcome.Aborted(MapChangeAbortReason.BaseMismatch(HEAD))
            }
        }
    })
