package io.kumquattrail.forward.call

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.forward.log.EventLog
import io.kumquattrail.forward.process.GatewayState
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.seconds

private const val GATEWAYS = 12
private const val RETRY_EXTRA = 112.0
private val SERVICE = ServiceName("drafting")
private val LIMITS =
    SharedLimits(
        retryRatio = 0.2,
        retryExtra = RETRY_EXTRA,
        retryWindow = 10.seconds,
        coldFactor = 1.5,
        coldSlack = 5.0,
    )

private fun state(
    number: Int,
    leastProcesses: Int = 1,
) = GatewayState(
    process = ProcessName("10.0.0.$number:7400"),
    zone = ZoneName("a"),
    log = EventLog(ByteArrayOutputStream()),
    leastProcesses = leastProcesses,
)

class RoomFinderSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO + 60.seconds

        fun repeatsOf(rooms: RoomFinder): Int = (1..200).count { rooms.mayRepeat(SERVICE, now) }

        describe("the repeats of twelve gateways while every server fails") {
            it("stay within the allowance of all when the gateways find each other after the first request") {
                val states = List(GATEWAYS) { state(it) }
                val rooms = states.map { RoomFinder(it, { LIMITS }) }
                // The first request of a service, before any peer has answered.
                val early = rooms.sumOf { finder -> if (finder.mayRepeat(SERVICE, now)) 1L else 0L }.toInt()
                states.forEach { it.allowance.seen(GATEWAYS, now) }
                early + rooms.sumOf(::repeatsOf) shouldBeLessThanOrEqual RETRY_EXTRA.toInt()
            }

            it("stay within it when no gateway reaches another, as the settings name all of them") {
                val rooms = List(GATEWAYS) { RoomFinder(state(it, leastProcesses = GATEWAYS), { LIMITS }) }
                rooms.sumOf(::repeatsOf) shouldBeLessThanOrEqual RETRY_EXTRA.toInt()
            }
        }
    })
