package io.kumquattrail.decision.delivery

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private fun event(id: Int) = "id: $id\ndata: word-$id\n\n"

private fun EventStreamCursor.acceptText(text: String) = accept(text.toByteArray())

private fun List<StreamEvent>.delivered() = filterIsInstance<StreamEvent.Deliver>().map { String(it.bytes) }

class EventStreamCursorSpec :
    DescribeSpec({
        describe("a run") {
            it("events are delivered whole, however their bytes are split") {
                val cursor = EventStreamCursor()
                val bytes = (event(1) + event(2) + event(3)).toByteArray()
                val events = bytes.toList().flatMap { cursor.accept(byteArrayOf(it)) }
                events.delivered() shouldContainExactly listOf(event(1), event(2), event(3))
                cursor.hasPartialEvent shouldBe false
            }

            it("events with carriage returns are delivered unchanged") {
                EventStreamCursor().acceptText("id: 1\r\ndata: x\r\n\r\n").delivered() shouldContainExactly
                    listOf("id: 1\r\ndata: x\r\n\r\n")
            }

            it("a run that ends inside an event has a partial event, so a broken stream does not look complete") {
                val cursor = EventStreamCursor()
                cursor.acceptText(event(1) + "id: 2\ndata: wo")
                cursor.hasPartialEvent shouldBe true
                cursor.lastId shouldBe 1
            }
        }

        describe("a second run") {
            it("a second run drops the first run's partial event and the events that the caller has already received") {
                val cursor = EventStreamCursor()
                cursor.acceptText(event(1) + event(2) + "id: 3\nda")
                cursor.startNextRun()
                cursor.acceptText(event(2) + event(3)).delivered() shouldContainExactly listOf(event(3))
            }

            it("a second run delivers no event without an id, whose place in the stream is unknown") {
                val cursor = EventStreamCursor()
                cursor.startNextRun()
                cursor.acceptText(event(1)).delivered() shouldContainExactly listOf(event(1))
                cursor.startNextRun()
                cursor.acceptText(": comment\n\n").delivered() shouldContainExactly listOf(": comment\n\n")
                cursor.acceptText("event: error\n\n").single() shouldBe StreamEvent.Unplaced
            }

            it("a stream with an event without an id cannot be continued, as a second run would repeat the event") {
                val cursor = EventStreamCursor()
                cursor.acceptText(event(1) + ": comment\n\n")
                cursor.canContinue shouldBe true
                cursor.acceptText("data: x\n\n")
                cursor.canContinue shouldBe false
            }

            it("a run that leaves out events is reported as a gap") {
                val cursor = EventStreamCursor(lastId = 4)
                cursor.acceptText(event(6)).single().shouldBeInstanceOf<StreamEvent.Gap>()
                cursor.acceptText("").shouldBeEmpty()
            }
        }
    })
