package io.kumquattrail.forward.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.catalogue.Departure
import io.kumquattrail.decision.identity.GroupName
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.ratelimit.RateLimitReport
import io.kumquattrail.decision.ratelimit.ServerIncarnation
import io.kumquattrail.decision.suspect.CrashReport
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.ServerCrash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun message(parts: Int) =
    PeerMessage(
        process = ProcessName("10.0.0.1:7400"),
        members = emptyList(),
        configurationVersion = 1,
        confirmedAge = Duration.ZERO,
        inProgress = emptyMap(),
        stopping = false,
        promptParts =
            List(parts) { number ->
                CrashReport(
                    suspect = checkNotNull(PromptPart.of("57dc7b54${number.toString(16).padStart(8, '0')}")),
                    crashes =
                        (1..2).associate { crash ->
                            ServerCrash(ServerName("i-$crash${number + 100_000}"), 1_792_178_438_002) to
                                200.milliseconds
                        },
                    cleared = emptySet(),
                    age = 700.milliseconds,
                )
            },
    )

class PeerMessageSpec :
    DescribeSpec({
        describe("a message with departures") {
            it("holds the same departures after it has been decoded") {
                val departures = mapOf(ServerName("i-1") to Departure(revision = 12, age = 1_500.milliseconds))
                val message = message(parts = 0).copy(departures = departures)
                PeerMessage.decode(message.encode())?.departures shouldBe departures
            }
        }

        // Servers and ranks choose these names, and a message that a peer cannot read would end the exchange with it.
        describe("a message with unusual names") {
            listOf("\u0000\r\n", "\"\\{", "\u007F\u2028", "漢\uD83D\uDE00").forEach { name ->
                it("holds the same names after it has been decoded: ${name.map { it.code.toString(16) }}") {
                    val message =
                        message(parts = 0).copy(
                            inProgress = mapOf(ServerName(name) to 3),
                            departures = mapOf(ServerName(name) to Departure(revision = 12, age = 1_500.milliseconds)),
                            groups = mapOf(ServerName(name) to GroupName(name)),
                        )
                    PeerMessage.decode(message.encode()) shouldBe message
                }
            }
        }

        describe("a message with request rate limits") {
            it("holds the same limits and ends after it has been decoded") {
                val limits =
                    listOf(
                        RateLimitReport(
                            ServerIncarnation(ServerName("i-1"), 7),
                            requestsPerSecond = 1.8,
                            age = 20.milliseconds,
                        ),
                        RateLimitReport(
                            ServerIncarnation(ServerName("i-2"), 0),
                            requestsPerSecond = null,
                            age = 2.seconds,
                        ),
                    )
                val message = message(parts = 0).copy(rateLimits = limits)
                PeerMessage.decode(message.encode())?.rateLimits shouldBe limits
            }

            it("takes at most 100 bytes for a limit, so 25 KB for the 256 that are reported") {
                val reports =
                    List(256) {
                        RateLimitReport(
                            server = ServerIncarnation(ServerName("i-${1_000_000_000L + it}"), 1_792_178_438_002),
                            requestsPerSecond = 12.5,
                            age = 700.milliseconds,
                        )
                    }
                val message = message(parts = 0)
                val bytes = (message.copy(rateLimits = reports).encode().size - message.encode().size) / reports.size
                println("bytes of a report on a request rate limit: $bytes")
                bytes shouldBeLessThanOrEqual 100
            }

            // The report would be taken for the end of the limit.
            it("has no report for a limit that is not a number") {
                val text = message(parts = 0).encode().decodeToString().removeSuffix("}")
                val malformed = ",\"rate_limits\":[{\"server\":\"i-1\",\"per_second\":\"2\",\"age_ms\":1}]}"
                PeerMessage.decode((text + malformed).toByteArray())?.rateLimits shouldBe emptyList()
            }
        }

        describe("a message with suspected prompt parts") {
            it("holds the same reports after it has been decoded") {
                val message = message(parts = 3)
                PeerMessage.decode(message.encode())?.promptParts shouldBe message.promptParts
            }

            // A gateway that starts receives the whole ledger, and must decode it before it serves.
            it("takes at most 256 bytes for a part, so 256 KiB for a full ledger") {
                val bytes = (message(parts = 1_024).encode().size - message(parts = 0).encode().size) / 1_024
                println("bytes of a report on a prompt part: $bytes")
                bytes shouldBeLessThanOrEqual 256
            }
        }
    })
