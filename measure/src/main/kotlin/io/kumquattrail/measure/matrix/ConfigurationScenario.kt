package io.kumquattrail.measure.matrix

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.fleet.ConfigurationFleet
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Publishes a change to a small fleet; a step is the number of processes that have the change in effect. */
internal object ConfigurationScenario : ProtocolScenario {
    private const val PROCESSES = 36
    private val PUBLISH_AT = 3.seconds
    private val FAULT_TIME = 3.seconds
    private val IN_EFFECT_WITHIN = 7.seconds

    /** Processes that have the change in effect when the fault occurs. */
    private val REACHED = mapOf("published" to 0, "first_reader" to 1, "half_informed" to 18, "all_informed" to 36)

    override val protocol = "configuration_change"
    override val guarantees = "P9 (in effect within 7 s after the last fault, no revert)"
    override val steps = REACHED.keys.toList()

    override fun emptyReason(fault: MatrixFault): String? =
        when (fault) {
            MatrixFault.RANK_STALLS -> "Ranks take no part in a configuration change."
            MatrixFault.SERVER_SILENTLY_COLD -> "Backend servers take no part in a configuration change."
            MatrixFault.REQUEST_CRASHES_SERVERS -> "Requests take no part in a configuration change."
            else -> null
        }

    override fun run(
        step: String,
        faults: List<MatrixFault>,
        seed: Long,
    ): List<String> = Run(REACHED.getValue(step), faults, seed).run()

    private class Run(
        private val reached: Int,
        private val faults: List<MatrixFault>,
        seed: Long,
    ) {
        private val random = Random(seed)
        private val fleet = ConfigurationFleet(PROCESSES, random.nextLong())
        private val queue get() = fleet.queue
        private var revision = Long.MAX_VALUE
        private var isArmed = true
        private var faultsEnd = MonotonicTime.ZERO

        fun run(): List<String> {
            val old = fleet.published.delta(0)
            fleet.service.staleDelta = { after -> old.copy(entries = old.entries.filter { it.revision > after }) }
            fleet.startWarm()
            fleet.inEffect = { if (isArmed && informed() >= reached) injectAll() }
            queue.at(MonotonicTime.ZERO + PUBLISH_AT) {
                fleet.published.change()
                revision = fleet.published.revision
                if (reached == 0) injectAll()
                fleet.service.changed()
            }
            queue.runUntil(MonotonicTime.ZERO + PUBLISH_AT + IN_EFFECT_WITHIN)
            if (isArmed) return listOf("the change did not reach $reached processes")
            queue.runUntil(maxOf(queue.now, faultsEnd + IN_EFFECT_WITHIN))
            return buildList {
                val missing = fleet.nodes.count { it.state.revision < revision }
                if (missing > 0) add("P9: $missing processes lack the change 7 s after the last fault")
                if (fleet.reverts > 0) add("P9: ${fleet.reverts} reverts")
            }
        }

        private fun informed() = fleet.nodes.count { it.state.revision >= revision }

        private fun injectAll() {
            isArmed = false
            faults.forEachIndexed { index, fault ->
                val delay = if (index == 0) 0 else random.nextInt(1_500)
                queue.after(delay.milliseconds) { inject(fault) }
                faultsEnd = maxOf(faultsEnd, queue.now + delay.milliseconds + FAULT_TIME)
            }
        }

        private fun inject(fault: MatrixFault) {
            val victims = fleet.nodes.shuffled(random).take(PROCESSES / 4)
            when (fault) {
                MatrixFault.MESSAGE_LATE -> {
                    late(ratio = 0.5, milliseconds = 2_000)
                }

                MatrixFault.MESSAGE_REORDERED -> {
                    late(ratio = 0.5, milliseconds = 100)
                }

                MatrixFault.MESSAGE_LOST -> {
                    fleet.network.lossRatio = 0.4
                    afterwards { fleet.network.lossRatio = 0.0 }
                }

                MatrixFault.MESSAGE_DOUBLED -> {
                    fleet.network.duplicateRatio = 0.7
                    afterwards { fleet.network.duplicateRatio = 0.0 }
                }

                MatrixFault.PROCESS_DIES -> {
                    victims.forEach { it.stop() }
                    queue.after(500.milliseconds) { victims.filter { !it.isUp }.forEach { it.restart() } }
                }

                MatrixFault.CONFIGURATION_DOWN -> {
                    fleet.service.goDown()
                    afterwards { fleet.service.isDown = false }
                }

                MatrixFault.CONFIGURATION_STALE -> {
                    fleet.service.staleReplicas = 3
                    afterwards { fleet.service.staleReplicas = 0 }
                }

                MatrixFault.PROCESS_PAUSED -> {
                    victims.forEach { it.pause(FAULT_TIME) }
                }

                MatrixFault.PARTITION -> {
                    val side = fleet.nodes.map { random.nextBoolean() }
                    fleet.network.isCut = { from, to -> side[from] != side[to] }
                    afterwards { fleet.network.isCut = { _, _ -> false } }
                }

                MatrixFault.RANK_STALLS,
                MatrixFault.SERVER_SILENTLY_COLD,
                MatrixFault.REQUEST_CRASHES_SERVERS,
                -> {
                    error("the cell is empty")
                }
            }
        }

        private fun late(
            ratio: Double,
            milliseconds: Int,
        ) {
            fleet.network.lateRatio = ratio
            fleet.network.latest = milliseconds.milliseconds
            afterwards { fleet.network.lateRatio = 0.0 }
        }

        private fun afterwards(end: () -> Unit) = queue.after(FAULT_TIME, end)
    }
}
