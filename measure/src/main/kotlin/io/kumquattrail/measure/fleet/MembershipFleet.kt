package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.identity.Incarnation
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.membership.FailureDetector
import io.kumquattrail.decision.membership.FailureDetectorSettings
import io.kumquattrail.decision.membership.ListedProcess
import io.kumquattrail.decision.membership.MemberChange
import io.kumquattrail.decision.membership.MembershipAction
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.decision.time.WallTime
import kotlin.random.Random

/** Runs the product's failure detector in every process of a simulated fleet. */
internal class MembershipFleet(
    processes: Int,
    seed: Long,
    private val settings: FailureDetectorSettings = FailureDetectorSettings(),
) {
    val random = Random(seed)
    val queue = VirtualTimeQueue()
    val layout = FleetLayout(processes)
    val network = FleetNetwork(queue, layout, Random(random.nextLong()))
    val nodes = layout.peers.indices.map(::Node)

    /** Called with the observer and the change whenever a view changes. */
    var changed: (Node, MemberChange) -> Unit = { _, _ -> }

    /** Number of verdicts that were not given because other peers were silent too. */
    var suspendedVerdicts = 0
        private set

    /** Starts every process with the complete list of VMs. */
    fun start() {
        val listed = layout.peers.map { ListedProcess(it.name, it.zone) }
        nodes.forEach { it.start(listed) }
    }

    inner class Node(
        val index: Int,
    ) {
        val name: ProcessName = layout.peers[index].name
        val detector =
            FailureDetector(
                self = name,
                zone = layout.peers[index].zone,
                incarnation = Incarnation.random(random),
                startedAt = WallTime(STARTED_AT_MILLISECONDS),
                random = Random(random.nextLong()),
                settings = settings,
            )
        private val inbox = ArrayList<() -> Unit>()
        private var wakeAt: MonotonicTime? = null
        var isUp = true
            private set
        private var isPaused = false

        fun start(listed: List<ListedProcess>) {
            detector.listChanged(listed, queue.now)
            detector.start(queue.now)
            schedule()
        }

        fun stop() {
            isUp = false
        }

        /** Stops the process until [resume], as a hypervisor does; messages wait. */
        fun pause() {
            isPaused = true
        }

        fun resume() {
            isPaused = false
            perform(detector.tick(queue.now))
            val waiting = inbox.toList()
            inbox.clear()
            waiting.forEach { it() }
        }

        private fun run(input: () -> Unit) {
            when {
                !isUp -> Unit
                isPaused -> inbox += input
                else -> input()
            }
        }

        private fun schedule() {
            val next = detector.nextTick
            if (wakeAt.let { it == null || next < it || it < queue.now }) {
                wakeAt = next
                queue.at(next) {
                    if (isUp && !isPaused) {
                        if (wakeAt == next) wakeAt = null
                        perform(detector.tick(queue.now))
                    }
                }
            }
        }

        private fun perform(actions: List<MembershipAction>) {
            actions.forEach { action ->
                when (action) {
                    is MembershipAction.Send -> {
                        val receiver = nodes[layout.indexOf.getValue(action.peer)]
                        network.send(index, receiver.index, WireSizes.membership(action.message)) {
                            receiver.run { receiver.perform(receiver.detector.received(action.message, queue.now)) }
                        }
                    }

                    is MembershipAction.Changed -> {
                        changed(this, action.change)
                    }

                    is MembershipAction.VerdictSuspended -> {
                        suspendedVerdicts += 1
                    }

                    is MembershipAction.Refuted -> {
                        Unit
                    }
                }
            }
            schedule()
        }
    }

    private companion object {
        const val STARTED_AT_MILLISECONDS = 1_780_000_000_000L
    }
}
