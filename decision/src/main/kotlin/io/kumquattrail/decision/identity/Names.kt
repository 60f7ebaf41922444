package io.kumquattrail.decision.identity

/** Names a backend server as published in its record. */
@JvmInline
value class ServerName(
    val value: String,
) : Comparable<ServerName> {
    override fun compareTo(other: ServerName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names an availability zone. */
@JvmInline
value class ZoneName(
    val value: String,
) : Comparable<ZoneName> {
    override fun compareTo(other: ZoneName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names an organisation, on whose behalf callers send requests. */
@JvmInline
value class OrganisationName(
    val value: String,
) : Comparable<OrganisationName> {
    override fun compareTo(other: OrganisationName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a service: a model with its runners, or a plain service. */
@JvmInline
value class ServiceName(
    val value: String,
) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a group of ranks that run in lockstep on one expert map. */
@JvmInline
value class GroupName(
    val value: String,
) : Comparable<GroupName> {
    override fun compareTo(other: GroupName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a gateway or agent process by the address on which its peers reach it, `IP:PORT`. */
@JvmInline
value class ProcessName(
    val value: String,
) : Comparable<ProcessName> {
    override fun compareTo(other: ProcessName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
