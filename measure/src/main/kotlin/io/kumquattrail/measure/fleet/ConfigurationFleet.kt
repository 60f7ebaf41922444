package io.kumquattrail.measure.fleet

import io.kumquattrail.decision.configuration.ConfigurationState
import io.kumquattrail.decision.configuration.ExchangeAction
import io.kumquattrail.decision.configuration.ExchangePolicy
import io.kumquattrail.decision.configuration.ExchangeSettings
import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/** Runs the product's exchange of configuration in every process of a simulated fleet. */
internal class ConfigurationFleet(
    processes: Int,
    seed: Long,
    private val settings: ExchangeSettings = ExchangeSettings(),
) {
    val random = Random(seed)
    val queue = VirtualTimeQueue()
    val layout = FleetLayout(processes)
    val network = FleetNetwork(queue, layout, Random(random.nextLong()))
    val published = PublishedFleet(layout, Random(random.nextLong()))
    val service = ServiceStandIn(queue, published, Random(random.nextLong()))
    val nodes = layout.peers.indices.map(::Node)

    /** Called whenever a process moves to another revision. */
    var inEffect: (Node) -> Unit = {}

    /** Called when a process's configuration is confirmed. */
    var confirmed: (Node) -> Unit = {}

    /** Number of times that a process had an older configuration in effect than before. */
    var reverts = 0
        private set

    /** Starts every process with the current records in effect and confirmed, as in a fleet that runs for long. */
    fun startWarm() {
        val all = published.delta(0)
        nodes.forEach { node ->
            node.state.apply(all)
            node.state.confirm()
            node.highest = node.state.revision
            node.start()
        }
    }

    inner class Node(
        val index: Int,
    ) {
        private val peer = layout.peers[index]
        private var life = 0
        private var wakeAt: MonotonicTime? = null
        private var pausedUntil = MonotonicTime.ZERO
        var isUp = false
            private set
        var startedAt = MonotonicTime.ZERO
            private set
        var highest = 0L
        var state = newState()
            private set
        private var policy = newPolicy()

        fun start() {
            isUp = true
            startedAt = queue.now
            perform(policy.peersChanged(layout.peers, queue.now))
            perform(policy.start(queue.now))
        }

        fun stop() {
            isUp = false
            life += 1
        }

        /** Stops the process for [duration], as a hypervisor does; messages and timers wait. */
        fun pause(duration: Duration) {
            pausedUntil = queue.now + duration
        }

        /** Starts the process again without anything that it knew. */
        fun restart() {
            life += 1
            wakeAt = null
            pausedUntil = MonotonicTime.ZERO
            state = newState()
            policy = newPolicy()
            start()
        }

        private fun newState() = ConfigurationState(published.decoder, peer.subscription)

        private fun newPolicy() = ExchangePolicy(peer, state, Random(random.nextLong()), settings)

        /** Runs [input] unless the process was stopped or restarted since [since]. */
        private fun alive(
            since: Int,
            input: () -> Unit,
        ) {
            if (!isUp || life != since) return
            if (queue.now < pausedUntil) queue.at(pausedUntil) { alive(since, input) } else input()
        }

        private fun perform(actions: List<ExchangeAction>) {
            actions.forEach(::perform)
            val next = policy.nextTick
            if (wakeAt.let { it == null || next < it || it < queue.now }) {
                wakeAt = next
                val since = life
                queue.at(next) {
                    alive(since) {
                        if (wakeAt == next) wakeAt = null
                        perform(policy.tick(queue.now))
                    }
                }
            }
        }

        private fun perform(action: ExchangeAction) {
            when (action) {
                is ExchangeAction.Send -> {
                    send(action)
                }

                is ExchangeAction.ReadService -> {
                    val since = life
                    service.read(
                        after = action.after,
                        wait = action.wait,
                        answered = { delta ->
                            alive(since) {
                                network.bytes[index] += WireSizes.serviceAnswer(delta).toLong()
                                perform(policy.serviceAnswered(delta, queue.now))
                            }
                        },
                        failed = { alive(since) { perform(policy.serviceFailed(queue.now)) } },
                    )
                }

                is ExchangeAction.InEffect -> {
                    if (state.revision < highest || action.applied.revision <= action.applied.previous) reverts += 1
                    highest = maxOf(highest, state.revision)
                    inEffect(this)
                }

                ExchangeAction.Confirmed -> {
                    confirmed(this)
                }

                is ExchangeAction.NotApplied -> {
                    Unit
                }
            }
        }

        private fun send(action: ExchangeAction.Send) {
            val since = life
            val receiver = nodes[layout.indexOf.getValue(action.peer)]
            network.send(index, receiver.index, WireSizes.exchange(action.message)) {
                if (!receiver.isUp) {
                    alive(since) { perform(policy.peerFailed(action.peer, queue.now)) }
                    return@send
                }
                receiver.alive(receiver.life) {
                    val reply = receiver.policy.requested(action.message, queue.now)
                    network.send(receiver.index, index, WireSizes.exchange(reply.answer)) {
                        alive(since) { perform(policy.answered(reply.answer, queue.now)) }
                    }
                    receiver.perform(reply.actions)
                }
            }
        }
    }
}
