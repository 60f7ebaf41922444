package io.kumquattrail.forward.call

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

// Bucket bounds of the latency histograms, around the latency targets of 0.1 to 0.5 s and the deadlines of up to 8 s.
private val LATENCY_SECONDS = doubleArrayOf(0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 8.0)

/** Prometheus metrics of the requests that are forwarded. */
class ForwardingMetrics {
    private val registry = PrometheusRegistry()

    /** Requests that were answered or refused, by route kind and outcome. */
    val requests: Counter =
        Counter
            .builder()
            .name("kumquattrail_forward_requests_total")
            .help("Requests by kind and outcome")
            .labelNames("kind", "outcome")
            .register(registry)

    /** Attempts at servers, by result. */
    val attempts: Counter =
        Counter
            .builder()
            .name("kumquattrail_forward_attempts_total")
            .help("Attempts at backend servers by result")
            .labelNames("result")
            .register(registry)

    /** Requests that may run only once and were sent again, by the kind of proof that they had not run. */
    val unrepeatableRetries: Counter =
        Counter
            .builder()
            .name("kumquattrail_forward_unrepeatable_retries_total")
            .help("Requests that may run once and were sent again, by proof that they had not run")
            .labelNames("proof")
            .register(registry)

    /** Backend servers that have crashed while they ran requests of this process, by service. */
    val serverCrashes: Counter =
        Counter
            .builder()
            .name("kumquattrail_forward_server_ends_total")
            .help("Backend servers that ended while they ran requests")
            .labelNames("service")
            .register(registry)

    /** Time from the arrival of a request to the first byte of its response. */
    val firstByteTime: Histogram = latency("kumquattrail_forward_first_byte_seconds", "Time to the first byte")

    /** Time for which requests wait for a free slot on a server. */
    val waitingTime: Histogram = latency("kumquattrail_forward_waiting_seconds", "Time waiting for room at a server")

    /** Time since the configuration was confirmed to be the newest, in seconds. */
    val configurationAge: Gauge =
        Gauge
            .builder()
            .name("kumquattrail_forward_configuration_age_seconds")
            .help("Time since the configuration was confirmed to be the newest")
            .register(registry)

    /** Returns all metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toByteArray()
    }

    private fun latency(
        name: String,
        help: String,
    ): Histogram =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(*LATENCY_SECONDS)
            .register(registry)
}
