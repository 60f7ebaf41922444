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
    minimumProcesses: Int = 1,
) = GatewayState(
    process = ProcessName("10.0.0.$number:7400"),
    zone = ZoneName("a"),
    log = EventLog(ByteArrayOutputStream()),
    minimumProcesses = minimumProcesses,
)

class SlotFinderSpec :
    DescribeSpec({
        val now = MonotonicTime.ZERO + 60.seconds

        fun grantedRetries(slotFinder: SlotFinder): Int = (1..200).count { slotFinder.takeRetry(SERVICE, now) }

        describe("the retries of twelve gateways while every server fails") {
            it("retries stay within the shared allowance when gateways find each other after the first request") {
                val states = List(GATEWAYS) { state(it) }
                val finders = states.map { SlotFinder(it, { LIMITS }) }
                // The first request of the service arrives before any peer has responded.
                val earlyRetries = finders.sumOf { finder -> if (finder.takeRetry(SERVICE, now)) 1L else 0L }.toInt()
                states.forEach { it.allowance.recordProcessCount(GATEWAYS, now) }
                earlyRetries + finders.sumOf(::grantedRetries) shouldBeLessThanOrEqual RETRY_EXTRA.toInt()
            }

            it("retries stay within the shared allowance when no gateway reaches another but the settings name all") {
                val finders = List(GATEWAYS) { SlotFinder(state(it, minimumProcesses = GATEWAYS), { LIMITS }) }
                finders.sumOf(::grantedRetries) shouldBeLessThanOrEqual RETRY_EXTRA.toInt()
            }
        }
    })
