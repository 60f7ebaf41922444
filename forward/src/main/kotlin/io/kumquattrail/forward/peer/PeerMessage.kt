package io.kumquattrail.forward.peer

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import io.kumquattrail.decision.catalogue.Departure
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.ratelimit.RateLimitReport
import io.kumquattrail.decision.ratelimit.ServerIncarnation
import io.kumquattrail.decision.suspect.CrashReport
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.RequestFingerprint
import io.kumquattrail.decision.suspect.ServerCrash
import io.kumquattrail.forward.json.JsonDocument
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * State that a gateway sends to its peers.
 *
 * @property process address at which peers reach the sender.
 * @property members gateways that are alive according to the sender, itself included.
 * @property configurationVersion version of the sender's configuration; 0 when it has none.
 * @property confirmedAge time since the sender's configuration was last confirmed to be up to date.
 * @property inProgress number of the sender's requests in progress at each server.
 * @property stopping whether the sender is shutting down.
 * @property ready whether the sender can serve requests.
 * @property isMapLeader whether the sender is the map leader.
 * @property departures servers that have recently left the registry.
 * @property fatalRequests requests that were in progress when servers crashed.
 * @property promptParts parts of prompts that may crash servers.
 * @property rateLimits request rate limits that servers have named, and their recent ends.
 * @property requestsAllSuspects whether the receiver is asked to report all of its suspects, not only the gravest ones,
 *   because the sender has not heard from it for some time.
 * @property groups group of each server according to the map leader; empty if the sender is not the map leader.
 */
data class PeerMessage(
    val process: ProcessName,
    val members: List<ProcessName>,
    val configurationVersion: Long,
    val confirmedAge: Duration,
    val inProgress: Map<ServerName, Int>,
    val stopping: Boolean,
    val ready: Boolean = false,
    val isMapLeader: Boolean = false,
    val departures: Map<ServerName, Departure> = emptyMap(),
    val groups: Map<ServerName, GroupName> = emptyMap(),
    val fatalRequests: List<CrashReport<RequestFingerprint>> = emptyList(),
    val promptParts: List<CrashReport<PromptPart>> = emptyList(),
    val requestsAllSuspects: Boolean = false,
    val rateLimits: List<RateLimitReport> = emptyList(),
) {
    /** Encodes the message as JSON. */
    fun encode(): ByteArray {
        val root = MAPPER.createObjectNode()
        root.put("process", process.value)
        root.putArray("members").also { array -> members.forEach { array.add(it.value) } }
        root.put("configuration_version", configurationVersion)
        if (confirmedAge.isFinite()) root.put("confirmed_age_ms", confirmedAge.inWholeMilliseconds)
        val inProgressNode: ObjectNode = root.putObject("in_progress")
        inProgress.forEach { (server, count) -> inProgressNode.put(server.value, count) }
        root.put("stopping", stopping)
        root.put("ready", ready)
        root.put("keeps_maps", isMapLeader)
        val departuresNode = root.putObject("departures")
        val departureAgesNode = root.putObject("departure_ages_ms")
        departures.forEach { (server, departure) ->
            departuresNode.put(server.value, departure.revision)
            departureAgesNode.put(server.value, departure.age.inWholeMilliseconds)
        }
        val groupsNode = root.putObject("groups")
        groups.entries.groupBy({ it.value }, { it.key }).forEach { (group, servers) ->
            groupsNode.putArray(group.value).also { array -> servers.forEach { array.add(it.value) } }
        }
        if (requestsAllSuspects) root.put("all_suspects", true)
        addReports(root, "fatal_requests", "fingerprint", fatalRequests)
        addReports(root, "prompt_parts", "part", promptParts)
        addRateLimits(root)
        return MAPPER.writeValueAsBytes(root)
    }

    private fun addRateLimits(root: ObjectNode) {
        if (rateLimits.isEmpty()) return
        val array = root.putArray("rate_limits")
        rateLimits.forEach { report ->
            val node = array.addObject()
            node.put("server", report.server.name.value).put("incarnation", report.server.incarnation)
            report.requestsPerSecond?.let { node.put("per_second", it) }
            node.put("age_ms", report.age.inWholeMilliseconds)
        }
    }

    private fun addReports(
        root: ObjectNode,
        name: String,
        suspectName: String,
        reports: List<CrashReport<*>>,
    ) {
        if (reports.isEmpty()) return
        val array = root.putArray(name)
        reports.forEach { report ->
            val node = array.addObject()
            node.put(suspectName, report.suspect.toString())
            val crashesNode = node.putArray("ends")
            report.crashes.forEach { (crash, timeSinceSent) ->
                addCrash(crashesNode, crash).put("sent_before_ms", timeSinceSent.inWholeMilliseconds)
            }
            val clearedNode = node.putArray("cleared")
            report.cleared.forEach { addCrash(clearedNode, it) }
            node.put("age_ms", report.age.inWholeMilliseconds)
        }
    }

    private fun addCrash(
        array: ArrayNode,
        crash: ServerCrash,
    ): ObjectNode = array.addObject().put("server", crash.server.value).put("incarnation", crash.incarnation)

    companion object {
        private val MAPPER = JsonMapper()

        /** One hour; a time before which no answer matters, and with which no sum overflows. */
        private const val MAXIMUM_AGE_MILLISECONDS = 3_600_000L

        /** Decodes a message that [encode] has written; returns `null` when [bytes] are not a valid message. */
        fun decode(bytes: ByteArray): PeerMessage? {
            val root = JsonDocument.parse(bytes).rootOrNull ?: return null
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
                isMapLeader = root.path("keeps_maps").asBoolean(false),
                departures =
                    root.path("departures").properties().associate { (name, revision) ->
                        // Builds before this field existed report no age.
                        val age =
                            root
                                .path("departure_ages_ms")
                                .path(name)
                                .asLong(0)
                                .coerceAtLeast(0)
                        ServerName(name) to Departure(revision.asLong(), age.milliseconds)
                    },
                fatalRequests =
                    root.path("fatal_requests").mapNotNull { node ->
                        decodeReport(node, "fingerprint") { RequestFingerprint(it) }
                    },
                promptParts = root.path("prompt_parts").mapNotNull { decodeReport(it, "part", PromptPart::of) },
                requestsAllSuspects = root.path("all_suspects").asBoolean(false),
                rateLimits = root.path("rate_limits").mapNotNull(::decodeRateLimit),
                groups =
                    root
                        .path("groups")
                        .properties()
                        .flatMap { (group, servers) -> servers.map { ServerName(it.asText()) to GroupName(group) } }
                        .toMap(),
            )
        }

        private fun <Suspect : Any> decodeReport(
            node: JsonNode,
            suspectName: String,
            decodeSuspect: (String) -> Suspect?,
        ): CrashReport<Suspect>? {
            val suspect = node.path(suspectName).takeIf { it.isTextual }?.let { decodeSuspect(it.asText()) }
            if (suspect == null) return null
            val age = node.path("age_ms").takeIf { it.isIntegralNumber } ?: return null
            return CrashReport(
                suspect = suspect,
                crashes =
                    node.path("ends").associate {
                        decodeCrash(it) to it.path("sent_before_ms").asLong(0).milliseconds
                    },
                cleared = node.path("cleared").mapTo(LinkedHashSet(), ::decodeCrash),
                age = age.asLong().coerceAtLeast(0).milliseconds,
            )
        }

        private fun decodeRateLimit(node: JsonNode): RateLimitReport? {
            val server = node.path("server").takeIf { it.isTextual }?.asText() ?: return null
            val age = node.path("age_ms").takeIf { it.isIntegralNumber } ?: return null
            val limit = node.path("per_second")
            // Without a number, the report would be taken for the end of the limit.
            if (!limit.isMissingNode && (!limit.isNumber || limit.asDouble() < 0)) return null
            return RateLimitReport(
                server = ServerIncarnation(ServerName(server), node.path("incarnation").asLong(0)),
                requestsPerSecond = limit.takeIf { it.isNumber }?.asDouble(),
                age = age.asLong().coerceIn(0, MAXIMUM_AGE_MILLISECONDS).milliseconds,
            )
        }

        private fun decodeCrash(node: JsonNode) =
            ServerCrash(ServerName(node.path("server").asText()), node.path("incarnation").asLong(0))
    }
}
