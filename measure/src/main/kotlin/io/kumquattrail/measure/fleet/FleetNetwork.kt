package io.kumquattrail.measure.fleet

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Delivers messages between processes with delay and loss and counts the bytes that each process sends and receives.
 *
 * One-way delays are 0.2 ms within a zone, 0.8 ms within a region and 8 ms between regions, plus up to half of that.
 */
internal class FleetNetwork(
    private val queue: VirtualTimeQueue,
    private val layout: FleetLayout,
    private val random: Random,
) {
    var lossRatio = 0.0

    /** Ratio of messages that arrive up to [latest] late. */
    var lateRatio = 0.0
    var latest: Duration = Duration.ZERO

    /** Ratio of messages that arrive twice. */
    var duplicateRatio = 0.0

    /** Tells whether a message from one process to another is cut off by a partition. */
    var isCut: (Int, Int) -> Boolean = { _, _ -> false }

    val bytes = LongArray(layout.processes)
    var messages = 0L
        private set

    /** Sends [size] bytes; [deliver] runs when they arrive. */
    fun send(
        from: Int,
        to: Int,
        size: Int,
        deliver: () -> Unit,
    ) {
        val total = size + WireSizes.MESSAGE_OVERHEAD_BYTES
        messages += 1
        bytes[from] += total.toLong()
        if (isCut(from, to) || random.nextDouble() < lossRatio) return
        // No number is drawn without the fault, so the runs of other measurements stay as they are.
        val copies = if (duplicateRatio > 0 && random.nextDouble() < duplicateRatio) 2 else 1
        repeat(copies) { deliverCopy(from, to, total, deliver) }
    }

    private fun deliverCopy(
        from: Int,
        to: Int,
        total: Int,
        deliver: () -> Unit,
    ) {
        val late = if (random.nextDouble() < lateRatio) latest * random.nextDouble() else Duration.ZERO
        queue.after(delay(from, to, total) + late) {
            bytes[to] += total.toLong()
            deliver()
        }
    }

    private fun delay(
        from: Int,
        to: Int,
        size: Int,
    ): Duration {
        val base =
            when {
                layout.zone(from) == layout.zone(to) -> 200.microseconds
                layout.region(from) == layout.region(to) -> 800.microseconds
                else -> 8.milliseconds
            }
        // A VM sends at 1 Gbit/s, which is 125 bytes in a microsecond.
        return base * (1 + random.nextDouble() / 2) + (size / BYTES_PER_MICROSECOND).microseconds
    }

    private companion object {
        const val BYTES_PER_MICROSECOND = 125
    }
}
