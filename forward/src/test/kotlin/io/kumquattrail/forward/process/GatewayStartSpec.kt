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
        describe("a caller that connects to a gateway in the first moment after its start") {
            // After the end of all processes, 30 callers of 90 ms were sent away for half a second.
            it("is served as soon as the configuration and the servers are known") {
                val known = Job()
                serving(echo(), known = known, startTime = 10.seconds) { fixture ->
                    fixture.connect().use {
                        it.ask("/unsafe/x", "POST", body = "first")
                        Thread.sleep(100)
                        known.complete()
                        it.answer()!!.body shouldBe "first"
                    }
                }
            }

            it("is refused in a fraction of a second if they do not become known, with a time to return") {
                serving(echo(), known = Job()) { fixture ->
                    fixture.connect().use {
                        val (answer, time) =
                            measureTimedValue {
                                it.ask("/unsafe/x", "POST", body = "first")
                                it.answer()!!
                            }
                        answer.head shouldContain "503"
                        answer.head shouldContain "Retry-After"
                        time.inWholeMilliseconds shouldBeLessThan 1_000
                    }
                }
            }
        }
    })
