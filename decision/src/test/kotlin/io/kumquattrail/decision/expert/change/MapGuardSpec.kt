package io.kumquattrail.decision.expert.change

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.expert.ExpertMap
import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

private val OLD_AGENT = Incarnation(0, 1)
private val NEW_AGENT = Incarnation(0, 2)
private val COORDINATOR = Incarnation(0, 3)
private val OTHER_COORDINATOR = Incarnation(0, 4)
private val ENGINE = Incarnation(0, 5)
private val NOW = MonotonicTime.ZERO
private const val PERMIT_WINDOW_STEPS = 16

private fun proposal(counter: Long) = ProposalNumber(counter, COORDINATOR)

private fun map(counter: Long) = VersionedMap(MapVersion(proposal(counter)), ExpertMap(persistentListOf()))

private fun loaded(
    counter: Long,
    loader: Incarnation,
) = LoadedMap(LoadedMapId(map(counter).version, loader), map(counter))

private fun report(
    number: Long,
    nextStep: Long,
    maps: List<LoadedMap>,
    vararg permitted: PermittedRange,
) = EngineReport(number, ENGINE, 0, nextStep, maps.toPersistentList(), permitted.toList().toPersistentList())

private fun range(
    first: Long,
    last: Long,
    map: LoadedMap,
) = PermittedRange(first, last, map.id)

private fun List<MapGuardAction>.commands() = filterIsInstance<MapGuardAction.Command>().map { it.command }

private fun List<MapGuardAction>.permitCommands() = commands().filterIsInstance<PermitSteps>()

private fun List<MapGuardAction>.refusal(): MapRefusal? =
    filterIsInstance<MapGuardAction.Answer>().single().answer.refusal

private val committedMap = loaded(counter = 1, OLD_AGENT)
private val preparedMap = loaded(counter = 2, OLD_AGENT)

/** Starts a guard whose engine is at step 100 with [committedMap] permitted up to step 110. */
private fun startedGuard(): MapGuard {
    val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT, MapGuardSettings(permitWindowSteps = PERMIT_WINDOW_STEPS))
    guard.tick(NOW)
    guard.receive(report(1, 100, listOf(committedMap), range(1, 110, committedMap)), NOW)
    return guard
}

/** Returns a guard that a coordinator has notified that no change is pending. */
private fun activeGuard(): MapGuard {
    val guard = startedGuard()
    guard.receive(Query(proposal(3)), NOW)
    guard.receive(Abort(proposal(3), NEW_AGENT, CommittedMap(committedMap.id.version, 1)), NOW)
    return guard
}

/** Returns a guard that has promised step 120 for map 4. */
private fun promisedGuard(): MapGuard {
    val guard = activeGuard()
    guard.receive(Query(proposal(4)), NOW)
    guard.receive(Prepare(proposal(4), NEW_AGENT, map(4)), NOW)
    guard.tick(NOW + MapGuardSettings().readInterval)
    val maps = listOf(committedMap, loaded(4, NEW_AGENT))
    guard.receive(report(2, 101, maps, range(1, 115, committedMap)), NOW)
    guard.receive(Schedule(proposal(4), NEW_AGENT, map(4).version, step = 120), NOW).refusal() shouldBe null
    return guard
}

class MapGuardSpec :
    DescribeSpec({
        describe("a guard that starts while the engine is running") {
            it("a new guard unloads a map without permitted steps, so that no late permission can put it into use") {
                val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT)
                guard.tick(NOW)
                val loadedMaps = listOf(committedMap, preparedMap)
                val actions = guard.receive(report(1, 100, loadedMaps, range(1, 110, committedMap)), NOW)
                actions.commands() shouldContain UnloadMap(fence = 1, preparedMap.id)
                guard.receive(Query(proposal(3)), NOW).refusal() shouldBe MapRefusal.STARTING
            }

            it("a new guard adopts a map as committed that its predecessor permitted just before the unloading") {
                val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT)
                guard.tick(NOW)
                val loadedMaps = listOf(committedMap, preparedMap)
                guard.receive(report(1, 100, loadedMaps, range(1, 110, committedMap)), NOW)
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(
                    report(2, 100, loadedMaps, range(1, 110, committedMap), range(111, 115, preparedMap)),
                    NOW,
                )
                guard.report.head shouldBe CommittedMap(preparedMap.id.version, 111)
            }

            it("a new guard permits nothing before it receives the group's map, since earlier promises are lost") {
                val guard = startedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard
                    .receive(
                        report(2, 111, listOf(committedMap), range(1, 110, committedMap)),
                        NOW,
                    ).permitCommands()
                    .shouldBeEmpty()
            }

            it("a new guard refuses requests addressed to its predecessor, which may be arbitrarily old") {
                val guard = startedGuard()
                guard.receive(Query(proposal(3)), NOW)
                val lateCommit = Commit(proposal(3), OLD_AGENT, CommittedMap(preparedMap.id.version, 120))
                guard.receive(lateCommit, NOW).refusal() shouldBe MapRefusal.OTHER_INCARNATION
            }

            it("a new guard promises only steps that no late permission of its predecessor can cover") {
                val guard = activeGuard()
                guard.receive(Query(proposal(4)), NOW)
                guard.receive(Prepare(proposal(4), NEW_AGENT, map(4)), NOW)
                guard.tick(NOW + MapGuardSettings().readInterval)
                val maps = listOf(committedMap, loaded(4, NEW_AGENT))
                guard.receive(report(2, 100, maps, range(1, 110, committedMap)), NOW)
                val tooEarly = Schedule(proposal(4), NEW_AGENT, map(4).version, step = 100L + PERMIT_WINDOW_STEPS - 1)
                guard.receive(tooEarly, NOW).refusal() shouldBe MapRefusal.STEP_TOO_EARLY
                guard.receive(tooEarly.copy(step = tooEarly.step + 1), NOW).refusal() shouldBe null
            }
        }

        describe("a guard that waits for the group's map") {
            it("a recovering guard does not stop on a late permission of its predecessor as if of a second agent") {
                val guard = startedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(
                    report(2, 105, listOf(committedMap), range(1, 100L + PERMIT_WINDOW_STEPS - 1, committedMap)),
                    NOW,
                )
                guard.isSuperseded shouldBe false
            }
        }

        describe("a guard that promised a step") {
            it("a guard permits no step from the promised one on, since another rank may run it with the other map") {
                val guard = promisedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval * 2)
                val maps = listOf(committedMap, loaded(4, NEW_AGENT))
                val permitCommands =
                    guard
                        .receive(
                            report(3, 112, maps, range(1, 115, committedMap)),
                            NOW,
                        ).permitCommands()
                permitCommands shouldBe listOf(PermitSteps(fence = 1, first = 116, last = 119, committedMap.id))
            }

            it("a guard permits the steps before a committed change with the old map and later ones with the new map") {
                val guard = promisedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval * 2)
                val maps = listOf(committedMap, loaded(4, NEW_AGENT))
                guard.receive(report(3, 112, maps, range(1, 115, committedMap)), NOW)
                val commit = Commit(proposal(4), NEW_AGENT, CommittedMap(map(4).version, 120))
                guard.receive(commit, NOW).permitCommands() shouldBe
                    listOf(
                        PermitSteps(fence = 1, first = 116, last = 119, committedMap.id),
                        PermitSteps(fence = 1, first = 120, last = 127, loaded(4, NEW_AGENT).id),
                    )
            }

            it("a guard applies a commit that another rank reports, so as not to wait for a crashed coordinator") {
                val guard = promisedGuard()
                guard.receive(OutcomeAnswer(1, CommittedMap(map(4).version, 120), null), NOW)
                guard.committed shouldBe CommittedMap(map(4).version, 120)
            }

            it("a guard ignores a reported commit after promising a higher number, whose coordinator may abort it") {
                val guard = promisedGuard()
                guard.receive(Query(ProposalNumber(5, OTHER_COORDINATOR)), NOW)
                guard.receive(OutcomeAnswer(1, CommittedMap(map(4).version, 120), null), NOW)
                guard.committed.shouldNotBeNull().version shouldBe committedMap.id.version
                val lateCommit = Commit(proposal(4), NEW_AGENT, CommittedMap(map(4).version, 120))
                guard.receive(lateCommit, NOW).refusal() shouldBe MapRefusal.PROMISED_HIGHER
            }

            it("a guard keeps its promise when an abort of an older proposal arrives late") {
                val guard = promisedGuard()
                guard.receive(Abort(proposal(3), NEW_AGENT, CommittedMap(committedMap.id.version, 1)), NOW)
                guard.scheduledStep shouldBe 120
            }
        }

        describe("a guard whose engine another agent commands") {
            it("a guard stops when another agent commands its engine, since the engine may obey both agents") {
                val guard = activeGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(report(2, 100, listOf(committedMap), range(1, 140, committedMap)), NOW)
                guard.isSuperseded shouldBe true
                guard.tick(NOW + MapGuardSettings().readInterval * 2).shouldBeEmpty()
            }
        }
    })
