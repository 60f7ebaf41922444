package io.kumquattrail.measure.fleet

import com.github.michaelbull.result.Ok
import io.kumquattrail.decision.configuration.EntryKey
import io.kumquattrail.decision.configuration.PublishedEntry
import io.kumquattrail.decision.configuration.PublishedValue
import io.kumquattrail.decision.configuration.RecordDecoder
import io.kumquattrail.decision.configuration.RecordDelta
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.OrganisationName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.identity.ServiceName
import io.kumquattrail.decision.identity.ZoneName
import io.kumquattrail.decision.record.BackendServerRecord
import io.kumquattrail.decision.record.GroupRecord
import io.kumquattrail.decision.record.OrganisationRecord
import io.kumquattrail.decision.record.PublishedRecord
import io.kumquattrail.decision.record.ServiceKind
import io.kumquattrail.decision.record.ServiceRecord
import io.kumquattrail.decision.record.ZoneRecord
import kotlinx.collections.immutable.toPersistentList
import java.util.IdentityHashMap
import kotlin.random.Random

/**
 * Publishes records as the configuration service does: 5,000 organisations, 880 servers, 6 zones, 8 services and 3
 * groups at 1,200 processes, and in proportion for smaller fleets.
 *
 * Each process decodes an entry to the same record object, which keeps the memory of 1,200 processes small.
 */
internal class PublishedFleet(
    layout: FleetLayout,
    private val random: Random,
) {
    private val decoded = IdentityHashMap<PublishedEntry, PublishedRecord>()
    private val entries = LinkedHashMap<EntryKey, PublishedEntry>()
    private val deltas = HashMap<Long, RecordDelta>()
    private val servers =
        layout.peers.filterIndexed { index, _ -> !layout.isGateway(index) }.mapIndexed { index, peer ->
            BackendServerRecord(
                name = ServerName("runner-$index"),
                service = ServiceName("model-${index % SERVICES}"),
                zone = peer.zone,
                address = peer.name.value,
            )
        }
    private val organisations = ORGANISATIONS * layout.processes / FleetLayout.FULL_SIZE

    val decoder = RecordDecoder { entry -> Ok(decoded.getValue(entry)) }

    var revision = 0L
        private set

    init {
        repeat(FleetLayout.ZONES) { publish(ZoneRecord(ZoneName("zone-$it")), ZONE_BYTES) }
        repeat(SERVICES) { publish(ServiceRecord(ServiceName("model-$it"), ServiceKind.MODEL), SERVICE_BYTES) }
        servers.forEach { publish(it, SERVER_BYTES) }
        servers.map { it.name }.chunked(RANKS).take(GROUPS).forEachIndexed { index, ranks ->
            publish(
                GroupRecord(GroupName("group-$index"), ServiceName("model-0"), ranks.toPersistentList(), 60, 128, 2, 1),
                GROUP_BYTES + ranks.sumOf { it.value.length + 3 },
            )
        }
        repeat(organisations) { publish(OrganisationRecord(OrganisationName("organisation-$it")), ORGANISATION_BYTES) }
    }

    /** Publishes a change of a random record as operators make it: mostly servers and organisations, sometimes a zone. */
    fun change() {
        when (random.nextInt(10)) {
            0 -> {
                val zone = ZoneName("zone-${random.nextInt(FleetLayout.ZONES)}")
                publish(ZoneRecord(zone, inService = random.nextBoolean()), ZONE_BYTES)
            }

            in 1..5 -> {
                publish(servers.random(random).copy(weight = 1 + random.nextInt(9)), SERVER_BYTES)
            }

            else -> {
                val name = OrganisationName("organisation-${random.nextInt(organisations)}")
                publish(OrganisationRecord(name, weight = 1 + random.nextInt(9)), ORGANISATION_BYTES)
            }
        }
    }

    /** Returns all entries above revision [after]. */
    fun delta(after: Long): RecordDelta =
        deltas.getOrPut(after) { RecordDelta(after, revision, entries.values.filter { it.revision > after }) }

    private fun publish(
        record: PublishedRecord,
        size: Int,
    ) {
        revision += 1
        deltas.clear()
        val entry = PublishedEntry(record.key.kind.label, record.key.name, revision, PublishedValue(ByteArray(size)))
        decoded[entry] = record
        entries.remove(entry.key)
        entries[entry.key] = entry
    }

    private companion object {
        const val ORGANISATIONS = 5_000
        const val SERVICES = 8
        const val RANKS = 256
        const val GROUPS = 3
        const val ZONE_BYTES = 90
        const val SERVICE_BYTES = 600
        const val SERVER_BYTES = 280
        const val GROUP_BYTES = 250
        const val ORGANISATION_BYTES = 220
    }
}
