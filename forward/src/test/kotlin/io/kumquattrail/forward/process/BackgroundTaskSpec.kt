package io.kumquattrail.forward.process

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kumquattrail.forward.log.EventLog
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class BackgroundTaskSpec :
    DescribeSpec({
        describe("a background task that fails") {
            // A failed task that is not started again leaves the process without news of the store or its peers.
            val failures: Map<String, suspend () -> Unit> =
                mapOf(
                    "an exception" to { throw IOException("unreadable") },
                    "a stack overflow" to { throw StackOverflowError() },
                    "a timeout within the task" to { withTimeout(1.milliseconds) { awaitCancellation() } },
                )
            failures.forEach { (description, fail) ->
                it("is started again after $description and logged") {
                    val output = ByteArrayOutputStream()
                    val log = EventLog(output)
                    var starts = 0
                    runBlocking {
                        val job =
                            launchBackgroundTask("reader", log, restartDelay = Duration.ZERO) {
                                starts += 1
                                if (starts < 3) fail()
                                awaitCancellation()
                            }
                        while (starts < 3) yield()
                        job.cancelAndJoin()
                    }
                    log.close()
                    starts shouldBe 3
                    output.toString() shouldContain "\"event\":\"task_failed\",\"task\":\"reader\""
                }
            }
        }

        describe("a background task that is cancelled") {
            it("is not started again") {
                var starts = 0
                runBlocking {
                    val job =
                        launchBackgroundTask("reader", EventLog(ByteArrayOutputStream()), Duration.ZERO) {
                            starts += 1
                            awaitCancellation()
                        }
                    while (starts == 0) yield()
                    job.cancelAndJoin()
                    delay(20.milliseconds)
                }
                starts shouldBe 1
            }
        }
    })
