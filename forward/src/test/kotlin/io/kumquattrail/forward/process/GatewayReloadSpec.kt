package io.kumquattrail.forward.process

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GatewayReloadSpec :
    DescribeSpec({
        describe("settings that change while a gateway runs") {
            // A gateway whose seeds have all been replaced would stay alone until its restart.
            it("name other gateways, and it meets them") {
                GatewayFixture(servers = emptyList()).use { other ->
                    GatewayFixture(servers = emptyList()).use { fixture ->
                        fixture.log() shouldNotContain "peer_alive"
                        fixture.reload { it.copy(seeds = listOf(other.process)) }
                        eventually(3.seconds) { fixture.log() shouldContain "peer_alive" }
                        eventually(3.seconds) { other.log() shouldContain "peer_alive" }
                    }
                }
            }

            // A bound on withdrawn keys that becomes tighter must hold before the next restart.
            it("shorten the trust in keys, and requests that need one are refused from then on") {
                serving(echo()) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST", body = "first")
                        it.answer()!!.head shouldContain "200 OK"
                        fixture.reload { settings -> settings.copy(keyTrust = Duration.ZERO) }
                        it.ask("/unsafe/x", "POST", body = "second")
                        it.answer()!!.head shouldContain "503"
                    }
                    fixture.log() shouldContain "keys_outdated"
                }
            }

            it("cannot move a process to other addresses, which is logged") {
                serving(echo()) { fixture ->
                    fixture.reload { it.copy(callerAddress = it.readinessAddress) }
                    fixture.log() shouldContain "\"needs_restart\":true"
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST", body = "first")
                        it.answer()!!.head shouldContain "200 OK"
                    }
                }
            }
        }
    })
