package io.kumquattrail.decision.record

import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Holds the records of one revision.
 *
 * @property revision number that the configuration service gave to the newest record; revisions are totally ordered.
 */
data class RecordSet(
    val revision: Long = 0,
    val records: PersistentMap<RecordKey, PublishedRecord> = persistentMapOf(),
) {
    /** Lists the backend servers of every service. */
    val servers: List<BackendServerRecord> by lazy { records.values.filterIsInstance<BackendServerRecord>() }

    /** Maps each service to its backend servers, in order of their names. */
    val serversByService: Map<ServiceName, List<BackendServerRecord>> by lazy {
        servers.sortedBy { it.name }.groupBy { it.service }
    }

    fun zone(name: ZoneName): ZoneRecord? = records[RecordKey(RecordKind.ZONE, name.value)] as? ZoneRecord

    fun service(name: ServiceName): ServiceRecord? =
        records[RecordKey(RecordKind.SERVICE, name.value)] as? ServiceRecord

    fun server(name: ServerName): BackendServerRecord? =
        records[RecordKey(RecordKind.SERVER, name.value)] as? BackendServerRecord

    fun group(name: GroupName): GroupRecord? = records[RecordKey(RecordKind.GROUP, name.value)] as? GroupRecord

    fun organisation(name: OrganisationName): OrganisationRecord? =
        records[RecordKey(RecordKind.ORGANISATION, name.value)] as? OrganisationRecord

    /** Returns whether [server] and its availability zone are in service; an unpublished zone is out of service. */
    fun mayReceiveWork(server: BackendServerRecord): Boolean = server.inService && zone(server.zone)?.inService == true

    /** Returns a copy at [revision] in which [record] replaces its older version. */
    fun with(
        record: PublishedRecord,
        revision: Long,
    ): RecordSet = copy(revision = maxOf(this.revision, revision), records = records.put(record.key, record))
}
