package io.kumquattrail.measure.suspect

import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.suspect.CrashLedger
import io.kumquattrail.decision.suspect.PROMPT_PART_LIMITS
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.PromptPartTrials
import io.kumquattrail.decision.suspect.ServerCrash
import io.kumquattrail.decision.time.MonotonicTime
import io.kumquattrail.measure.Measurement
import io.kumquattrail.measure.MeasurementOptions
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Measures the state of the ledger of prompt parts and the time of its decisions, by the number of suspected parts. */
object PromptPartsMeasurement : Measurement {
    override val name: String = "prompt-parts"

    override val summary: String = "state and decision time of the ledger of prompt parts that crash servers"

    override fun run(options: MeasurementOptions): Map<String, Any?> {
        val random = Random(options.seed)
        val rows =
            PART_COUNTS.map { count ->
                options.progress("$count parts")
                measure(count, random)
            }
        return mapOf(
            "results" to rows,
            "seed" to options.seed,
            "targets_met" to rows.all { (it.getValue("decision_ns") as Long) <= MAXIMUM_DECISION_NANOSECONDS },
        )
    }

    private fun measure(
        count: Int,
        random: Random,
    ): Map<String, Any?> {
        val bytesBefore = usedBytes()
        val ledger = CrashLedger<PromptPart>(PROMPT_PART_LIMITS)
        val suspects = List(count) { randomPart(random) }
        suspects.forEachIndexed { index, part ->
            repeat(PROMPT_PART_LIMITS.crashThreshold) { crash ->
                ledger.recordCrash(ServerCrash(ServerName("i-$index-$crash")), part, TIME_TO_CRASH, MonotonicTime.ZERO)
            }
        }
        val kept = ledger.reports(MonotonicTime.ZERO, limit = Int.MAX_VALUE).size
        val stateBytes = usedBytes() - bytesBefore
        val requests = List(REQUESTS) { List(PARTS_PER_REQUEST) { randomPart(random) } }
        return mapOf(
            "parts" to count,
            "kept" to kept,
            "state_bytes_per_part" to if (kept == 0) 0 else stateBytes / kept,
            "decision_ns" to decisionNanoseconds(ledger, requests),
        )
    }

    /** Returns the mean time of a decision about a request without suspected parts, after a warm-up. */
    private fun decisionNanoseconds(
        ledger: CrashLedger<PromptPart>,
        requests: List<List<PromptPart>>,
    ): Long {
        val trials = PromptPartTrials<Int>(ledger)
        var nanoseconds = 0L
        repeat(WARM_UP_ROUNDS + 1) {
            val start = System.nanoTime()
            requests.forEachIndexed { index, parts -> trials.decide(index, parts, MonotonicTime.ZERO) }
            nanoseconds = System.nanoTime() - start
        }
        return nanoseconds / requests.size
    }

    private fun randomPart(random: Random): PromptPart =
        checkNotNull(PromptPart.of(random.nextLong().toULong().toString(radix = 16)))

    private fun usedBytes(): Long {
        repeat(GARBAGE_COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    /** The last one is a part of each of 5,000 organisations. */
    private val PART_COUNTS = listOf(0, 32, 1_024, 5_000)

    private const val REQUESTS = 100_000
    private const val PARTS_PER_REQUEST = 4
    private const val WARM_UP_ROUNDS = 10
    private const val GARBAGE_COLLECTIONS = 3
    private const val MAXIMUM_DECISION_NANOSECONDS = 10_000L
    private val TIME_TO_CRASH = 200.milliseconds
}
