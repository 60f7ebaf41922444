package io.kumquattrail.decision.routing

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random

/** Draws a server with equal probability. */
class RandomChoice(
    random: Random,
) : SimplePolicy(random) {
    override val name: String = "random_choice"

    override fun select(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState? = table.draw(request, now)
}
