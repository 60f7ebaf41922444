package io.kumquattrail.decision.routing

import io.kumquattrail.decision.time.MonotonicTime
import kotlin.random.Random

/** Draws two servers and takes the one with fewer known requests. */
class PowerOfTwoChoices(
    random: Random,
) : SimplePolicy(random) {
    override val name: String = "power_of_two_choices"

    override fun select(
        request: RoutingRequest,
        now: MonotonicTime,
    ): ServerState? {
        val first = table.draw(request, now) ?: return null
        val second = table.draw(request, now) ?: return first
        return if (second.requests(now) < first.requests(now)) second else first
    }
}
