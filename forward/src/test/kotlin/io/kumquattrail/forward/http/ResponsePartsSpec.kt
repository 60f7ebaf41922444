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
        describe("a response part that arrives as its reader times out") {
            it("a response part that arrives as its reader times out is not lost and is returned by the next read") {
                repeat(50) {
                    runBlocking {
                        val parts = ResponseParts(onTaken = {})
                        val timedRead = async { withTimeoutOrNull(5.milliseconds) { parts.next() } }
                        delay(1)
                        // The timeout and the part are both due when the thread is free again.
                        Thread.sleep(6)
                        parts.add(ResponsePart.End(endsWithConnection = false))
                        val part = timedRead.await() ?: withTimeoutOrNull(500.milliseconds) { parts.next() }
                        part shouldBe ResponsePart.End(endsWithConnection = false)
                    }
                }
            }
        }
    })
