package io.kumquattrail.node.loop

import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.node.clock.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a state machine of the decision module in one coroutine, which is its only user.
 *
 * @property nextTick time at which [tick] has something to do next.
 * @property perform carries out one action; it must not block.
 */
class DecisionLoop<A>(
    private val clock: Clock,
    private val nextTick: () -> MonotonicTime,
    private val tick: (MonotonicTime) -> List<A>,
    private val perform: (A) -> Unit,
) {
    private val commands = Channel<(MonotonicTime) -> List<A>>(Channel.UNLIMITED)

    /** Starts the loop in [scope]; [begin] is the state machine's first call. */
    fun start(
        scope: CoroutineScope,
        begin: (MonotonicTime) -> List<A>,
    ) {
        scope.launch {
            begin(clock.monotonic()).forEach(perform)
            while (true) {
                val wait = (nextTick() - clock.monotonic()).coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
                val command = withTimeoutOrNull(wait) { commands.receive() }
                val now = clock.monotonic()
                (command?.invoke(now) ?: tick(now)).forEach(perform)
            }
        }
    }

    /** Calls [command] with the present time in the loop's coroutine. */
    fun submit(command: (MonotonicTime) -> List<A>) {
        commands.trySend(command)
    }

    private companion object {
        val SHORTEST_WAIT = 1.milliseconds
        val LONGEST_WAIT = 1.seconds
    }
}
