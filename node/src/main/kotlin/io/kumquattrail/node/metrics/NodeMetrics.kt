package io.kumquattrail.node.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Holds the metrics of one process. Each process has its own registry, so that several can share one JVM. */
class NodeMetrics {
    private val registry = PrometheusRegistry()

    /** Counts answered requests by service and outcome. */
    val requests: Counter = counter("kumquattrail_requests", "Answered requests.", "service", "outcome")

    /** Counts attempts at backend servers by service and outcome. */
    val attempts: Counter = counter("kumquattrail_attempts", "Attempts at backend servers.", "service", "outcome")

    /** Measures the time to the first token or first byte of an answer, in seconds. */
    val firstToken: Histogram =
        Histogram
            .builder()
            .name("kumquattrail_first_token_seconds")
            .help("Time to the first token or first byte.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0)
            .register(registry)

    /** Shows the revision of the records in effect. */
    val revision: Gauge = gauge("kumquattrail_configuration_revision", "Revision of the records in effect.")

    /** Shows 1 while the records in effect are confirmed by a peer or a second source, otherwise 0. */
    val confirmed: Gauge = gauge("kumquattrail_configuration_confirmed", "Whether the records are confirmed.")

    /** Counts published records that were rejected, by record. */
    val rejectedRecords: Counter = counter("kumquattrail_rejected_records", "Rejected published records.", "record")

    /** Shows requests that run at the backend server now. */
    val running: Gauge = gauge("kumquattrail_running_requests", "Requests that run now.")

    /** Shows 1 while the backend server counts as cold. */
    val cold: Gauge = gauge("kumquattrail_server_cold", "Whether the backend server counts as cold.")

    /** Counts bytes sent and received for control, by direction. */
    val controlBytes: Counter = counter("kumquattrail_control_bytes", "Bytes of control traffic.", "direction")

    /** Returns all metrics in the Prometheus text format. */
    fun exposition(): ByteArray =
        ByteArrayOutputStream()
            .also { PrometheusTextFormatWriter.create().write(it, registry.scrape()) }
            .toByteArray()

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private fun gauge(
        name: String,
        help: String,
    ): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .register(registry)

    companion object {
        /** Media type of [exposition]. */
        const val CONTENT_TYPE: String = PrometheusTextFormatWriter.CONTENT_TYPE
    }
}
