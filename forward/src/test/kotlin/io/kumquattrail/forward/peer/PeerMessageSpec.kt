package io.kumquattrail.forward.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kumquattrail.decision.catalogue.Departure
import io.kumquattrail.decision.identity.ProcessName
import io.kumquattrail.decision.identity.ServerName
import io.kumquattrail.decision.suspect.CrashReport
import io.kumquattrail.decision.suspect.PromptPart
import io.kumquattrail.decision.suspect.ServerCrash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
