package io.kumquattrail.agent.backend

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventStreamSplitterSpec :
    DescribeSpec({
        describe("a stream of events") {
            it("gives the same events however the network cuts it, so that no token is lost or divided") {
                val text = "data: a\n\ndata: b\n\ndata: [DONE]\n\n"
                (1..text.length).forEach { size ->
                    val splitter = EventStreamSplitter()
                    val events =
                        text
                            .toByteArray()
                            .toList()
                            .chunked(size)
                            .flatMap { splitter.add(it.toByteArray()) }
                    events.map { String(it) } shouldBe listOf("data: a\n\n", "data: b\n\n", "data: [DONE]\n\n")
                    splitter.pendingBytes shouldBe 0
                }
            }

            it("may end its lines with carriage returns, as the standard allows") {
                val events = EventStreamSplitter().add("data: a\r\n\r\ndata: b\r\n\r\n".toByteArray())
                events.map { String(it) } shouldBe listOf("data: a\r\n\r\n", "data: b\r\n\r\n")
            }

            it("gives the rest of a stream that ends without a blank line, so that no bytes are lost") {
                val splitter = EventStreamSplitter()
                splitter.add("data: a\n\ndata: b".toByteArray()).size shouldBe 1
                String(splitter.takePending()) shouldBe "data: b"
                splitter.pendingBytes shouldBe 0
            }

            it("holds back an event whose end has not arrived") {
                val splitter = EventStreamSplitter()
                splitter.add("data: a\n".toByteArray()) shouldBe emptyList()
                splitter.pendingBytes shouldBe 8
            }
        }
    })
