package io.kumquattrail.measure.idempotency

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Finds the faults that are due at each step of a call, and what they do to a message. */
class FaultInjector(
    private val planned: List<PlannedFault>,
    private val random: Random,
) {
    private val reached = IntArray(CallStep.entries.size)

    /** Counts that the call reaches [step] and returns the faults that are due. */
    fun due(step: CallStep): List<Fault> {
        val occurrence = ++reached[step.ordinal]
        return planned.filter { it.step == step && it.occurrence == occurrence }.map { it.fault }
    }

    /** Returns the delays of the copies of a message between two VMs that is subject to [faults]. */
    fun delays(faults: List<Fault>): List<Duration> =
        faults.fold(listOf(delay())) { delays, fault ->
            when (fault) {
                Fault.MESSAGE_LOST -> emptyList()
                Fault.MESSAGE_DOUBLED -> delays + listOf(upTo(LONGEST_FAULT_MILLISECONDS))
                Fault.MESSAGE_LATE -> delays.map { it + upTo(LONGEST_FAULT_MILLISECONDS) }
                Fault.MESSAGE_REORDERED -> delays.map { it + upTo(LONGEST_REORDERING_MILLISECONDS) }
                else -> delays
            }
        }

    /** Returns the time that a fault lasts. */
    fun duration(): Duration = upTo(LONGEST_FAULT_MILLISECONDS)

    /** Returns the error of a VM's wall clock; those of two VMs differ by less than 2 s. */
    fun clockError(): Duration = random.nextInt(-CLOCK_ERROR_MILLISECONDS, CLOCK_ERROR_MILLISECONDS + 1).milliseconds

    private fun delay(): Duration = random.nextInt(1, DELAY_MILLISECONDS).milliseconds

    private fun upTo(milliseconds: Int): Duration {
        // Short and long times are equally likely: most races need faults of a few milliseconds.
        val longest = if (random.nextBoolean()) milliseconds else milliseconds / SHORT_FAULT_DIVISOR
        return ZERO + random.nextInt(1, longest).milliseconds
    }

    private companion object {
        const val DELAY_MILLISECONDS = 4
        const val LONGEST_FAULT_MILLISECONDS = 6_000
        const val LONGEST_REORDERING_MILLISECONDS = 200
        const val SHORT_FAULT_DIVISOR = 20
        const val CLOCK_ERROR_MILLISECONDS = 999
    }
}
