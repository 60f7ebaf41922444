package io.kumquattrail.gateway.call

import io.kumquattrail.decision.admission.LoadReport
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.gateway.request.ClassifiedRequest

/** Says how an attempt at a server ended, for the choice of later servers. */
enum class AttemptEnd {
    COMPLETED,
    NOT_RUN,
    FAILED,
    UNREACHABLE,
    ABANDONED,
}

/** Chooses servers for attempts and learns from how they end. Implementations may be used by many threads. */
interface ServerSelection {
    /** Chooses a server for [request] that is not in [excluded], or returns `null` when none is available. */
    fun choose(
        request: ClassifiedRequest,
        excluded: Set<ServerName>,
    ): BackendServerRecord?

    /** Notes that an attempt of [request] was sent to [server]. */
    fun started(
        server: ServerName,
        request: ClassifiedRequest,
    )

    /** Notes that the first token or byte of the attempt's answer arrived. */
    fun firstToken(
        server: ServerName,
        request: ClassifiedRequest,
    )

    /** Notes that the attempt ended. */
    fun ended(
        server: ServerName,
        request: ClassifiedRequest,
        end: AttemptEnd,
    )

    /** Notes a load report of the agent beside [server]. */
    fun observed(
        server: ServerName,
        load: LoadReport,
    )
}
