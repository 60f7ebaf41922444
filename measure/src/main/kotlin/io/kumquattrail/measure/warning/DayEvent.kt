package io.kumquattrail.measure.warning

import io.kumquattrail.decision.warning.WarningKind
import kotlin.random.Random

/**
 * Describes something that happens during a simulated day.
 *
 * @property needsOperator whether the system cannot end it by itself.
 * @property badShare share of the requests that miss [kind] while it lasts.
 * @property processes number of gateways that see it; `null` for all.
 * @property isAnnounced whether gateways know that an automatic action is under way.
 */
internal data class DayEvent(
    val label: String,
    val kind: WarningKind,
    val service: Int,
    val startSecond: Int,
    val seconds: Int,
    val badShare: Double,
    val needsOperator: Boolean,
    val processes: Int? = null,
    val isAnnounced: Boolean = false,
) {
    val endSecond: Int get() = startSecond + seconds

    companion object {
        private const val SPACING_SECONDS = 900
        private const val JITTER_SECONDS = 300

        /** Draws the events of one day, far enough apart that each warning belongs to one event. */
        fun day(
            daySeconds: Int,
            services: Int,
            random: Random,
        ): List<DayEvent> =
            (SPACING_SECONDS until daySeconds - SPACING_SECONDS step SPACING_SECONDS).map { slot ->
                draw(random, random.nextInt(services), slot + random.nextInt(JITTER_SECONDS))
            }

        private fun draw(
            random: Random,
            service: Int,
            start: Int,
        ): DayEvent {
            val late = WarningKind.FIRST_TOKEN_LATE
            val slow = WarningKind.BETWEEN_TOKENS_SLOW
            val failing = WarningKind.REQUESTS_FAILING

            fun real(
                label: String,
                kind: WarningKind,
                share: Double,
            ) = DayEvent(label, kind, service, start, random.nextInt(120, 480), share, needsOperator = true)

            fun harmless(
                label: String,
                kind: WarningKind,
                seconds: Int,
                share: Double,
                processes: Int? = null,
                isAnnounced: Boolean = false,
            ) = DayEvent(label, kind, service, start, seconds, share, false, processes, isAnnounced)

            return when (random.nextInt(12)) {
                0 -> real("capacity_lost", late, random.nextDouble(0.3, 0.9))
                1 -> real("servers_slow", slow, random.nextDouble(0.25, 0.8))
                2 -> real("service_failing", failing, random.nextDouble(0.05, 0.9))
                3 -> real("guarantee_violated", WarningKind.GUARANTEE_VIOLATED, 0.0).copy(seconds = 1)
                4 -> harmless("zone_change", late, random.nextInt(10, 50), random.nextDouble(0.05, 0.3), null, true)
                5 -> harmless("planned_stop", failing, random.nextInt(2, 20), random.nextDouble(0.0, 0.02), null, true)
                6 -> harmless("vm_lost", failing, random.nextInt(1, 4), random.nextDouble(0.02, 0.15))
                7 -> harmless("burst", late, random.nextInt(2, 6), random.nextDouble(0.2, 0.6))
                8 -> harmless("gateway_isolated", failing, random.nextInt(30, 300), random.nextDouble(0.3, 1.0), 1)
                9 -> harmless("cold_servers", late, random.nextInt(10, 40), random.nextDouble(0.05, 0.25), null, true)
                10 -> harmless("slow_reports", late, random.nextInt(10, 60), random.nextDouble(0.01, 0.08))
                else -> harmless("map_change", slow, random.nextInt(1, 5), random.nextDouble(0.1, 0.5))
            }
        }
    }
}
