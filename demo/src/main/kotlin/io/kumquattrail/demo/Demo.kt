package io.kumquattrail.demo

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs a small fleet on loopback, sends it load, and takes an availability zone out of service and back meanwhile.
 *
 * @property duration time of the load; zero serves without load until the process is stopped.
 * @property port port of the first gateway for callers.
 */
class Demo(
    private val duration: Duration,
    private val port: Int,
    private val seed: Long,
) {
    /** Runs the demo; [ready] gets the members of the first line once everything serves. */
    suspend fun run(ready: (Map<String, Any?>) -> Unit): DemoReport {
        val vertx = Vertx.vertx()
        val fleet = LocalFleet(vertx, FleetSize(callerPort = port), seed = seed)
        try {
            fleet.start()
            awaitRecords(fleet)
            val gateways = fleet.callerPorts.map { "http://127.0.0.1:$it" }
            ready(mapOf("ready" to true, "gateways" to gateways, "records" to fleet.records.newestRevision))
            if (duration == Duration.ZERO) awaitCancellation()
            return load(vertx, fleet)
        } finally {
            vertx.close().coAwait()
        }
    }

    private suspend fun load(
        vertx: Vertx,
        fleet: LocalFleet,
    ): DemoReport {
        val counters = DemoCounters()
        val job = SupervisorJob()
        val scope = CoroutineScope(job + Dispatchers.Default)
        val zone = scope.launch { changeZone(fleet) }
        DemoLoad(vertx, fleet.callerPorts, counters, seed).run(scope, duration)
        zone.join()
        withTimeoutOrNull(LAST_ANSWERS) { job.children.toList().joinAll() }
        fleet.stop()
        return DemoReport(
            requests = counters.requests.get(),
            whole = counters.whole.get(),
            refusedNotRun = counters.refusedNotRun.get(),
            refusedUnknown = counters.refusedUnknown.get(),
            torn = counters.torn.get(),
            doubleRuns = fleet.postings.doubleRuns,
            zoneNewWorkAfterMilliseconds = lastNewWork,
            refusals = counters.refusals.mapValues { it.value.get() },
        )
    }

    private var lastNewWork = 0L

    private suspend fun changeZone(fleet: LocalFleet) {
        val zone = fleet.serversByZone.keys.first()
        delay(duration / 3)
        fleet.publishZone(zone, inService = false)
        val published = TimeSource.Monotonic.markNow()
        val engines = fleet.serversByZone.getValue(zone).mapNotNull { fleet.engines[it] }
        var received = engines.map { it.receivedCount }
        while (published.elapsedNow() < duration / 3) {
            delay(WATCH_INTERVAL)
            val now = engines.map { it.receivedCount }
            if (now != received) lastNewWork = published.elapsedNow().inWholeMilliseconds
            received = now
        }
        fleet.publishZone(zone, inService = true)
    }

    private suspend fun awaitRecords(fleet: LocalFleet) {
        val newest = fleet.records.newestRevision
        withTimeoutOrNull(START_TIMEOUT) {
            while (fleet.gateways.any { it.revision < newest } ||
                fleet.agents.values.any { it.load.revision < newest }
            ) {
                delay(WATCH_INTERVAL)
            }
        }
    }

    private companion object {
        val WATCH_INTERVAL = 20.milliseconds
        val START_TIMEOUT = 20.seconds
        val LAST_ANSWERS = 15.seconds
    }
}
