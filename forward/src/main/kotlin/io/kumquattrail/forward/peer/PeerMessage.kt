package io.kumquattrail.forward.peer

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.suspect.FatalRequestReport
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.suspect.ServerEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What gateways tell each other.
 *
 * @property process address at which peers reach the sender.
 * @property members processes that the sender knows to live, itself included.
 * @property configurationVersion version in effect; 0 when the sender has none.
 * @property confirmedAge time since the sender knew its configuration to be the newest.
 * @property inProgress the sender's requests in progress at each server.
 * @property stopping whether the sender is shutting down.
 * @property ready whether the sender can serve requests.
 * @property keepsMaps whether the sender keeps the expert maps.
 * @property departures revision of the registry at which each server has left that has done so lately.
 * @property fatalRequests requests that were in progress as servers ended.
 * @property groups group of each server, as the keeper of the maps knows it; empty from any other sender.
 */
data class PeerMessage(
    val process: ProcessName,
    val members: List<ProcessName>,
    val configurationVersion: Long,
    val confirmedAge: Duration,
    val inProgress: Map<ServerName, Int>,
    val stopping: Boolean,
    val ready: Boolean = false,
    val keepsMaps: Boolean = false,
    val departures: Map<ServerName, Long> = emptyMap(),
    val groups: Map<ServerName, GroupName> = emptyMap(),
    val fatalRequests: List<FatalRequestReport> = emptyList(),
) {
    /** Returns the message as it is sent. */
    fun encode(): ByteArray {
        val root = MAPPER.createObjectNode()
        root.put("process", process.value)
        root.putArray("members").also { array -> members.forEach { array.add(it.value) } }
        root.put("configuration_version", configurationVersion)
        if (confirmedAge.isFinite()) root.put("confirmed_age_ms", confirmedAge.inWholeMilliseconds)
        val loads: ObjectNode = root.putObject("in_progress")
        inProgress.forEach { (server, count) -> loads.put(server.value, count) }
        root.put("stopping", stopping)
        root.put("ready", ready)
        root.put("keeps_maps", keepsMaps)
        val left = root.putObject("departures")
        departures.forEach { (server, revision) -> left.put(server.value, revision) }
        val members = root.putObject("groups")
        groups.entries.groupBy({ it.value }, { it.key }).forEach { (group, servers) ->
            members.putArray(group.value).also { array -> servers.forEach { array.add(it.value) } }
        }
        if (fatalRequests.isNotEmpty()) {
            val reports = root.putArray("fatal_requests")
            fatalRequests.forEach { report ->
                val node = reports.addObject()
                node.put("fingerprint", report.fingerprint.value)
                val ends = node.putArray("ends")
                report.ends.forEach { (end, sentBefore) ->
                    addEnd(ends, end).put("sent_before_ms", sentBefore.inWholeMilliseconds)
                }
                val cleared = node.putArray("cleared")
                report.cleared.forEach { addEnd(cleared, it) }
                node.put("age_ms", report.age.inWholeMilliseconds)
            }
        }
        return MAPPER.writeValueAsBytes(root)
    }

    private fun addEnd(
        array: ArrayNode,
        end: ServerEnd,
    ): ObjectNode = array.addObject().put("server", end.server.value).put("incarnation", end.incarnation)

    companion object {
        private val MAPPER = JsonMapper()

        /** Decodes what [encode] wrote; returns `null` for any other bytes. */
        fun decode(bytes: ByteArray): PeerMessage? {
            val root: JsonNode =
                try {
                    MAPPER.readTree(bytes) ?: return null
                } catch (_: JacksonException) {
                    // The caller logs the peer and the size; the bytes themselves are of no use.
                    return null
                }
            val process = root.path("process").takeIf { it.isTextual }?.asText() ?: return null
            return PeerMessage(
                process = ProcessName(process),
                members = root.path("members").map { ProcessName(it.asText()) },
                configurationVersion = root.path("configuration_version").asLong(0),
                confirmedAge =
                    root
                        .path("confirmed_age_ms")
                        .takeIf { it.isNumber }
                        ?.asLong()
                        ?.milliseconds ?: Duration.INFINITE,
                inProgress =
                    root.path("in_progress").properties().associate { (name, count) ->
                        ServerName(name) to
                            count.asInt()
                    },
                stopping = root.path("stopping").asBoolean(false),
                ready = root.path("ready").asBoolean(false),
                keepsMaps = root.path("keeps_maps").asBoolean(false),
                departures =
                    root.path("departures").properties().associate { (name, revision) ->
                        ServerName(name) to revision.asLong()
                    },
                fatalRequests = root.path("fatal_requests").mapNotNull(::decodeReport),
                groups =
                    root
                        .path("groups")
                        .properties()
                        .flatMap { (group, servers) -> servers.map { ServerName(it.asText()) to GroupName(group) } }
                        .toMap(),
            )
        }

        private fun decodeReport(node: JsonNode): FatalRequestReport? {
            val fingerprint = node.path("fingerprint").takeIf { it.isTextual }?.asText() ?: return null
            val age = node.path("age_ms").takeIf { it.isIntegralNumber } ?: return null
            return FatalRequestReport(
                fingerprint = RequestFingerprint(fingerprint),
                ends =
                    node.path("ends").associate {
                        decodeEnd(it) to it.path("sent_before_ms").asLong(0).milliseconds
                    },
                cleared = node.path("cleared").mapTo(LinkedHashSet(), ::decodeEnd),
                age = age.asLong().coerceAtLeast(0).milliseconds,
            )
        }

        private fun decodeEnd(node: JsonNode) =
            ServerEnd(ServerName(node.path("server").asText()), node.path("incarnation").asLong(0))
    }
}
