package io.kumquattrail.forward.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

class ResponsePartsSpec :
    DescribeSpec({
        describe("a part that arrives at the moment in which its reader stops waiting") {
            it("is there for the next reading, so that a stream which goes on has no hole") {
                repeat(50) {
                    runBlocking {
                        val parts = ResponseParts(onTaken = {})
                        val reading = async { withTimeoutOrNull(5.milliseconds) { parts.next() } }
                        delay(1)
                        // The time-out and the part are both due when the thread is free again.
                        Thread.sleep(6)
                        parts.add(ResponsePart.End)
                        val part = reading.await() ?: withTimeoutOrNull(500.milliseconds) { parts.next() }
                        part shouldBe ResponsePart.End
                    }
                }
            }
        }
    })
