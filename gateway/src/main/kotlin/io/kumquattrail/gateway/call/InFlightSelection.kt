package io.kumquattrail.gateway.call

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.gateway.request.ClassifiedRequest
import io.kumquattrail.node.configuration.ConfigurationView
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Chooses the server in service that has the fewest attempts of this gateway in flight. */
class InFlightSelection(
    private val configuration: ConfigurationView,
) : ServerSelection {
    private val inFlight = ConcurrentHashMap<ServerName, AtomicInteger>()

    override fun choose(
        request: ClassifiedRequest,
        excluded: Set<ServerName>,
    ): BackendServerRecord? {
        val records = configuration.current.value.records
        return records.serversByService[request.identified.request.service]
            .orEmpty()
            .filter { records.mayReceiveWork(it) && it.name !in excluded }
            .minByOrNull { count(it.name).get().toDouble() / it.weight }
    }

    override fun started(
        server: ServerName,
        request: ClassifiedRequest,
    ) {
        count(server).incrementAndGet()
    }

    override fun firstToken(
        server: ServerName,
        request: ClassifiedRequest,
    ) = Unit

    override fun ended(
        server: ServerName,
        request: ClassifiedRequest,
        end: AttemptEnd,
    ) {
        count(server).decrementAndGet()
    }

    override fun observed(
        server: ServerName,
        load: LoadReport,
    ) = Unit

    private fun count(server: ServerName): AtomicInteger = inFlight.computeIfAbsent(server) { AtomicInteger() }
}
