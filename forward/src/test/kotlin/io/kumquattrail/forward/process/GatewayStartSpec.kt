package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.Job
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

class GatewayStartSpec :
    DescribeSpec({
        describe("requests right after the start of a gateway") {
            // Otherwise, callers that connect right after a restart of all gateways, such as 30 callers within 90 ms,
            // are refused and come back only half a second later.
            it("a request that arrives before the configuration and the servers is served once they are received") {
                val stateAvailable = Job()
                withGateway(echoServer(), stateAvailable = stateAvailable, startupTimeout = 10.seconds) { fixture ->
                    fixture.connect().use {
                        it.sendRequest("/unsafe/x", "POST", body = "first")
                        Thread.sleep(100)
                        stateAvailable.complete()
                        it.readResponse()!!.body shouldBe "first"
                    }
                }
            }

            it("a request is refused within a second, with Retry-After, if the gateway receives no configuration") {
                withGateway(echoServer(), stateAvailable = Job()) { fixture ->
                    fixture.connect().use {
                        val (answer, time) =
                            measureTimedValue {
                                it.sendRequest("/unsafe/x", "POST", body = "first")
                                it.readResponse()!!
                            }
                        answer.head shouldContain "503"
                        answer.head shouldContain "Retry-After"
                        time.inWholeMilliseconds shouldBeLessThan 1_000
                    }
                }
            }
        }
    })
