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
            it("delivers events whole, however its bytes are cut") {
                val cursor = EventStreamCursor()
                val bytes = (event(1) + event(2) + event(3)).toByteArray()
                val events = bytes.toList().flatMap { cursor.accept(byteArrayOf(it)) }
                events.delivered() shouldContainExactly listOf(event(1), event(2), event(3))
                cursor.hasPartialEvent shouldBe false
            }

            it("keeps events with carriage returns as they are") {
                EventStreamCursor().acceptText("id: 1\r\ndata: x\r\n\r\n").delivered() shouldContainExactly
                    listOf("id: 1\r\ndata: x\r\n\r\n")
            }

            it("shows that it ended inside an event, so that a broken stream does not look complete") {
                val cursor = EventStreamCursor()
                cursor.acceptText(event(1) + "id: 2\ndata: wo")
                cursor.hasPartialEvent shouldBe true
                cursor.lastId shouldBe 1
            }
        }

        describe("a second run") {
            it("drops the half event of the first and what the caller has already") {
                val cursor = EventStreamCursor()
                cursor.acceptText(event(1) + event(2) + "id: 3\nda")
                cursor.nextRun()
                cursor.acceptText(event(2) + event(3)).delivered() shouldContainExactly listOf(event(3))
            }

            it("is refused when it leaves out events") {
                val cursor = EventStreamCursor(lastId = 4)
                cursor.acceptText(event(6)).single().shouldBeInstanceOf<StreamEvent.Gap>()
                cursor.acceptText("").shouldBeEmpty()
            }
        }
    })
