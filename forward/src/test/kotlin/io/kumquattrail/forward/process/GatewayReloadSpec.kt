package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GatewayReloadSpec :
    DescribeSpec({
        describe("reloading the settings of a running gateway") {
            // Otherwise, a gateway whose seeds have all been replaced would find no peers until it is restarted.
            it("a gateway exchanges state with the seeds of reloaded settings") {
                GatewayFixture(servers = emptyList()).use { other ->
                    GatewayFixture(servers = emptyList()).use { fixture ->
                        fixture.log() shouldNotContain "peer_alive"
                        fixture.reload { it.copy(seeds = listOf(other.process)) }
                        eventually(3.seconds) { fixture.log() shouldContain "peer_alive" }
                        eventually(3.seconds) { other.log() shouldContain "peer_alive" }
                    }
                }
            }

            // A stricter limit on the use of revoked keys must take effect without a restart.
            it("a shorter key trust time takes effect at once, and requests with a key are refused") {
                withGateway(echoServer()) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", body = "first")
                        it.readResponse()!!.head shouldContain "200 OK"
                        fixture.reload { settings -> settings.copy(keyTrust = Duration.ZERO) }
                        it.sendRequest("/unsafe/x", "POST", body = "second")
                        it.readResponse()!!.head shouldContain "503"
                    }
                    fixture.log() shouldContain "keys_outdated"
                }
            }

            it("a changed address does not take effect, and the log says that a restart is needed") {
                withGateway(echoServer()) { fixture ->
                    fixture.reload { it.copy(callerAddress = it.readinessAddress) }
                    fixture.log() shouldContain "\"needs_restart\":true"
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", body = "first")
                        it.readResponse()!!.head shouldContain "200 OK"
                    }
                }
            }
        }
    })
