package io.kumquattrail.decision.warning

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.time.MonotonicTime
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceName("drafting")
private val VIOLATION = InvariantViolation("P6", "key-1", persistentMapOf("runs" to "2"))

/** Runs processes that hear each other's reports once a second; [bad] is the share of late requests by process. */
private class WarningFleet(
    size: Int,
) {
    val processes = List(size) { BurnRateWarnings(ProcessName("10.0.0.$it:1")).apply { updateProcesses(size) } }
    private var second = 0
    val now get() = MonotonicTime.ZERO + second.seconds

    fun run(
        seconds: Int,
        bad: (Int) -> Int,
    ): List<WarningAction> =
        (1..seconds).flatMap {
            second += 1
            processes.forEachIndexed { index, process ->
                val late = bad(index).toLong()
                process.recordServiceLevel(
                    ServiceLevelSample(SERVICE, WarningKind.FIRST_TOKEN_LATE, 100 - late, late),
                    now,
                )
            }
            val actions = processes.flatMap { it.tick(now) }
            val reports = processes.map { it.report(now) }
            processes.forEach { process -> reports.forEach { process.hear(it, now) } }
            actions
        }
}

private fun List<WarningAction>.raises() = filterIsInstance<WarningAction.Raise>()

class BurnRateWarningsSpec :
    DescribeSpec({
        describe("a service level") {
            it("is warned about once over the fleet, or every gateway would wake the operator") {
                WarningFleet(6).run(120) { 50 }.raises() shouldHaveSize 1
            }

            it("raises nothing for a short burst, which the system gets over by itself") {
                val fleet = WarningFleet(6)
                fleet.run(60) { 1 }
                (fleet.run(5) { 60 } + fleet.run(60) { 1 }).shouldBeEmpty()
            }

            it("raises nothing when one of several processes is affected, which is that process's own fault") {
                WarningFleet(6).run(120) { index -> if (index == 0) 80 else 1 }.shouldBeEmpty()
            }

            it("raises nothing while an automatic action is expected to end it, such as a planned zone change") {
                val fleet = WarningFleet(6)
                fleet.processes.forEach { it.recordAutomaticAction(SERVICE, fleet.now + 30.seconds, fleet.now) }
                (fleet.run(25) { 50 } + fleet.run(60) { 1 }).shouldBeEmpty()
            }

            it("raises after the longest grace, or an action that never ends would hide an outage") {
                val fleet = WarningFleet(6)
                fleet.processes.forEach { it.recordAutomaticAction(SERVICE, fleet.now + 3_600.seconds, fleet.now) }
                fleet.run(90) { 50 }.raises() shouldHaveSize 1
            }

            it("clears once after the level has been met for a while, or a flapping fault raises again and again") {
                val fleet = WarningFleet(6)
                fleet.run(60) { 50 }
                repeat(3) {
                    fleet.run(20) { 1 }.shouldBeEmpty()
                    fleet.run(20) { 50 }.shouldBeEmpty()
                }
                fleet.run(80) { 1 }.filterIsInstance<WarningAction.Clear>() shouldHaveSize 1
            }
        }

        describe("a violated guarantee") {
            it("is raised at once with its evidence and next step, as no automatic action can undo it") {
                val process = BurnRateWarnings(ProcessName("10.0.0.1:1"))
                process.recordViolation(VIOLATION, MonotonicTime.ZERO)
                val warning =
                    process
                        .tick(MonotonicTime.ZERO)
                        .raises()
                        .single()
                        .warning
                warning.evidence shouldBe VIOLATION.evidence
                warning.nextStep shouldBe WarningKind.GUARANTEE_VIOLATED.nextStep
            }

            it("has the same identifier at every process, so that two simultaneous reports are one warning") {
                val ids =
                    listOf("10.0.0.1:1", "10.0.0.2:1").map { name ->
                        val process = BurnRateWarnings(ProcessName(name))
                        process.recordViolation(VIOLATION, MonotonicTime.ZERO)
                        process
                            .tick(MonotonicTime.ZERO)
                            .raises()
                            .single()
                            .warning.id
                    }
                ids.distinct() shouldHaveSize 1
            }
        }
    })
