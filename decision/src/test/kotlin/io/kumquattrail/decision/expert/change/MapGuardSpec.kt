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
private const val WINDOW = 16

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

private fun List<MapGuardAction>.permits() = commands().filterIsInstance<PermitSteps>()

private fun List<MapGuardAction>.refusal(): MapRefusal? =
    filterIsInstance<MapGuardAction.Answer>().single().answer.refusal

private val committed = loaded(counter = 1, OLD_AGENT)
private val prepared = loaded(counter = 2, OLD_AGENT)

/** Starts a guard beside an engine that is at step 100 with [committed] permitted through step 110. */
private fun startedGuard(): MapGuard {
    val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT, MapGuardSettings(permitWindowSteps = WINDOW))
    guard.tick(NOW)
    guard.receive(report(1, 100, listOf(committed), range(1, 110, committed)), NOW)
    return guard
}

/** Brings a guard to the point where a coordinator has told it that no change is pending. */
private fun activeGuard(): MapGuard {
    val guard = startedGuard()
    guard.receive(Query(proposal(3)), NOW)
    guard.receive(Abort(proposal(3), NEW_AGENT, CommittedMap(committed.id.version, 1)), NOW)
    return guard
}

/** Brings a guard to the point where it has promised step 120 for map 4. */
private fun promisedGuard(): MapGuard {
    val guard = activeGuard()
    guard.receive(Query(proposal(4)), NOW)
    guard.receive(Prepare(proposal(4), NEW_AGENT, map(4)), NOW)
    guard.tick(NOW + MapGuardSettings().readInterval)
    val maps = listOf(committed, loaded(4, NEW_AGENT))
    guard.receive(report(2, 101, maps, range(1, 115, committed)), NOW)
    guard.receive(Schedule(proposal(4), NEW_AGENT, map(4).version, step = 120), NOW).refusal() shouldBe null
    return guard
}

class MapGuardSpec :
    DescribeSpec({
        describe("a guard that starts beside a running engine") {
            it("releases a map that no step is permitted with, which a late permission could otherwise put into use") {
                val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT)
                guard.tick(NOW)
                val both = listOf(committed, prepared)
                val actions = guard.receive(report(1, 100, both, range(1, 110, committed)), NOW)
                actions.commands() shouldContain UnloadMap(fence = 1, prepared.id)
                guard.receive(Query(proposal(3)), NOW).refusal() shouldBe MapRefusal.STARTING
            }

            it("takes a map for committed that its predecessor permitted just before the release arrived") {
                val guard = MapGuard(rank = 0, ranks = 2, NEW_AGENT)
                guard.tick(NOW)
                val both = listOf(committed, prepared)
                guard.receive(report(1, 100, both, range(1, 110, committed)), NOW)
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(report(2, 100, both, range(1, 110, committed), range(111, 115, prepared)), NOW)
                guard.report.head shouldBe CommittedMap(prepared.id.version, 111)
            }

            it("permits nothing before it knows the group's map, since the promise of its predecessor is lost") {
                val guard = startedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard
                    .receive(
                        report(2, 111, listOf(committed), range(1, 110, committed)),
                        NOW,
                    ).permits()
                    .shouldBeEmpty()
            }

            it("refuses what was addressed to its predecessor, which may be arbitrarily old") {
                val guard = startedGuard()
                guard.receive(Query(proposal(3)), NOW)
                val late = Commit(proposal(3), OLD_AGENT, CommittedMap(prepared.id.version, 120))
                guard.receive(late, NOW).refusal() shouldBe MapRefusal.OTHER_INCARNATION
            }

            it("promises only steps beyond those that a late permission of its predecessor can reach") {
                val guard = activeGuard()
                guard.receive(Query(proposal(4)), NOW)
                guard.receive(Prepare(proposal(4), NEW_AGENT, map(4)), NOW)
                guard.tick(NOW + MapGuardSettings().readInterval)
                val maps = listOf(committed, loaded(4, NEW_AGENT))
                guard.receive(report(2, 100, maps, range(1, 110, committed)), NOW)
                val within = Schedule(proposal(4), NEW_AGENT, map(4).version, step = 100L + WINDOW - 1)
                guard.receive(within, NOW).refusal() shouldBe MapRefusal.STEP_TOO_EARLY
                guard.receive(within.copy(step = within.step + 1), NOW).refusal() shouldBe null
            }
        }

        describe("a guard that waits for the group's map") {
            it("does not take a late permission of its predecessor for another agent, which would end it for nothing") {
                val guard = startedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(report(2, 105, listOf(committed), range(1, 100L + WINDOW - 1, committed)), NOW)
                guard.isSuperseded shouldBe false
            }
        }

        describe("a guard that promised a step") {
            it("permits no step from the promised one on, which another rank may run with the other map") {
                val guard = promisedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval * 2)
                val maps = listOf(committed, loaded(4, NEW_AGENT))
                val permits = guard.receive(report(3, 112, maps, range(1, 115, committed)), NOW).permits()
                permits shouldBe listOf(PermitSteps(fence = 1, first = 116, last = 119, committed.id))
            }

            it("permits the steps before the change with the old map and the others with the new one") {
                val guard = promisedGuard()
                guard.tick(NOW + MapGuardSettings().readInterval * 2)
                val maps = listOf(committed, loaded(4, NEW_AGENT))
                guard.receive(report(3, 112, maps, range(1, 115, committed)), NOW)
                val commit = Commit(proposal(4), NEW_AGENT, CommittedMap(map(4).version, 120))
                guard.receive(commit, NOW).permits() shouldBe
                    listOf(
                        PermitSteps(fence = 1, first = 116, last = 119, committed.id),
                        PermitSteps(fence = 1, first = 120, last = 127, loaded(4, NEW_AGENT).id),
                    )
            }

            it("learns a commit from another rank, so that it does not wait for a coordinator that died") {
                val guard = promisedGuard()
                guard.receive(OutcomeAnswer(1, CommittedMap(map(4).version, 120), null), NOW)
                guard.committed shouldBe CommittedMap(map(4).version, 120)
            }

            it("ignores such a commit once it has promised a higher number, whose coordinator may abort the change") {
                val guard = promisedGuard()
                guard.receive(Query(ProposalNumber(5, OTHER_COORDINATOR)), NOW)
                guard.receive(OutcomeAnswer(1, CommittedMap(map(4).version, 120), null), NOW)
                guard.committed.shouldNotBeNull().version shouldBe committed.id.version
                val late = Commit(proposal(4), NEW_AGENT, CommittedMap(map(4).version, 120))
                guard.receive(late, NOW).refusal() shouldBe MapRefusal.PROMISED_HIGHER
            }

            it("keeps its promise when an abort of an older proposal arrives late") {
                val guard = promisedGuard()
                guard.receive(Abort(proposal(3), NEW_AGENT, CommittedMap(committed.id.version, 1)), NOW)
                guard.scheduledStep shouldBe 120
            }
        }

        describe("a guard whose engine another agent commands") {
            it("stops, since an engine that ignores fencing numbers would obey both") {
                val guard = activeGuard()
                guard.tick(NOW + MapGuardSettings().readInterval)
                guard.receive(report(2, 100, listOf(committed), range(1, 140, committed)), NOW)
                guard.isSuperseded shouldBe true
                guard.tick(NOW + MapGuardSettings().readInterval * 2).shouldBeEmpty()
            }
        }
    })
