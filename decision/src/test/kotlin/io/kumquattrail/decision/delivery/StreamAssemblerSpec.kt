package io.kumquattrail.decision.delivery

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

private val STARTED = FrameContent.Started(status = 200)

private fun tokens(
    sequence: Int,
    offset: Int,
    count: Int = 1,
    text: String = (offset until offset + count).joinToString("") { "<$it>" },
) = FrameContent.Chunk(sequence.toLong(), offset, count, text.toByteArray())

private fun bytes(
    sequence: Int,
    size: Int = 4,
) = FrameContent.Chunk(sequence.toLong(), tokenOffset = null, tokenCount = 0, ByteArray(size) { '.'.code.toByte() })

private class RecordingCaller {
    var text = ""
    var heads = 0
    var complete = false

    fun read(result: AssemblyResult) {
        val output =
            when (result) {
                is AssemblyResult.Failed -> result.output
                is AssemblyResult.Progress -> result.output
            }
        output.forEach {
            when (it) {
                is Output.Head -> heads++
                is Output.Body -> text += it.data.decodeToString()
            }
        }
        complete = result is AssemblyResult.Progress && result.complete
    }
}

private fun StreamAssembler.accept(content: FrameContent): AssemblyResult =
    when (content) {
        is FrameContent.Started -> accept(content)
        is FrameContent.Chunk -> accept(content)
        is FrameContent.Finished -> accept(content)
        else -> error("only Started, Chunk and Finished are part of a response")
    }

class StreamAssemblerSpec :
    DescribeSpec({
        describe("a token stream") {
            it("a token stream has no missing or repeated text for any order and duplication of its frames") {
                val frames =
                    listOf(STARTED) + (0..5).map { tokens(it, offset = it) } + FrameContent.Finished(chunks = 6)
                repeat(2_000) { seed ->
                    val random = Random(seed)
                    val assembler = StreamAssembler()
                    val caller = RecordingCaller()
                    (frames + frames.shuffled(random).take(3)).shuffled(random).forEach {
                        if (!caller.complete) caller.read(assembler.accept(it))
                    }
                    caller.text shouldBe "<0><1><2><3><4><5>"
                    caller.heads shouldBe 1
                    caller.complete shouldBe true
                }
            }

            it("a token stream resumes after the tokens already written, wherever the first attempt breaks") {
                for (received in 0..4) {
                    val assembler = StreamAssembler()
                    val caller = RecordingCaller()
                    caller.read(assembler.accept(STARTED))
                    (0 until received).forEach { caller.read(assembler.accept(tokens(it, offset = it))) }
                    caller.read(assembler.accept(tokens(received + 1, offset = received + 1)))
                    assembler.beginAttempt()
                    assembler.writtenTokens shouldBe received
                    caller.read(assembler.accept(STARTED))
                    (received..5).forEach { caller.read(assembler.accept(tokens(it - received, offset = it))) }
                    caller.read(assembler.accept(FrameContent.Finished(chunks = 6L - received)))
                    caller.text shouldBe "<0><1><2><3><4><5>"
                    caller.heads shouldBe 1
                    caller.complete shouldBe true
                }
            }

            it("tokens already written are skipped if an engine that cannot resume generates them again") {
                val assembler = StreamAssembler()
                val caller = RecordingCaller()
                listOf(STARTED, tokens(0, offset = 0, count = 2)).forEach { caller.read(assembler.accept(it)) }
                assembler.beginAttempt()
                val repeated = listOf(STARTED, tokens(0, 0, text = "head", count = 0), tokens(1, 0), tokens(2, 1))
                (repeated + tokens(3, 2)).forEach { caller.read(assembler.accept(it)) }
                caller.text shouldBe "<0><1><2>"
            }

            it("an attempt fails if it leaves out tokens or if a chunk holds both written and unwritten ones") {
                listOf(tokens(0, offset = 3), tokens(0, offset = 1, count = 2)).forEach { unusable ->
                    val assembler = StreamAssembler()
                    listOf(STARTED, tokens(0, offset = 0, count = 2)).forEach { assembler.accept(it) }
                    assembler.beginAttempt()
                    assembler.accept(STARTED)
                    assembler.accept(unusable).shouldBeInstanceOf<AssemblyResult.Failed>()
                }
            }

            it("an attempt fails if more chunks than the limit wait for a lost one") {
                val assembler = StreamAssembler(AssemblyLimits(maximumPendingChunks = 4))
                assembler.accept(STARTED)
                (1..4).forEach { assembler.accept(tokens(it, it)).shouldBeInstanceOf<AssemblyResult.Progress>() }
                assembler.accept(tokens(5, 5)).shouldBeInstanceOf<AssemblyResult.Failed>()
            }

            it("the caller receives every token that counts as written, also if a later chunk fails the attempt") {
                val assembler = StreamAssembler()
                val caller = RecordingCaller()
                listOf(STARTED, tokens(2, offset = 9), tokens(1, offset = 1), tokens(0, offset = 0)).forEach {
                    caller.read(assembler.accept(it))
                }
                caller.text shouldBe "<0><1>"
                assembler.writtenTokens shouldBe 2
            }

            it("bytes without a token offset keep their place, and a stream is not resumed after them") {
                val assembler = StreamAssembler()
                val caller = RecordingCaller()
                listOf(STARTED, bytes(0), tokens(1, offset = 0), bytes(2)).forEach { caller.read(assembler.accept(it)) }
                caller.text shouldBe "....<0>...."
                assembler.canResume shouldBe false
            }

            it("duplicate frames do not count towards the limits of pending chunks and bytes") {
                val assembler = StreamAssembler(AssemblyLimits(maximumPendingChunks = 4, maximumPendingBytes = 40))
                assembler.accept(STARTED)
                (0..9).forEach { assembler.accept(tokens(it, it)) }
                ((0..9) + List(40) { 11 }).forEach {
                    assembler.accept(tokens(it, it)).shouldBeInstanceOf<AssemblyResult.Progress>()
                }
            }

            it("a stream never resumes with another status, because the caller has already received the first one") {
                val assembler = StreamAssembler()
                listOf(STARTED, tokens(0, 0)).forEach { assembler.accept(it) }
                assembler.beginAttempt()
                assembler.accept(FrameContent.Started(status = 500)).shouldBeInstanceOf<AssemblyResult.Failed>()
            }
        }

        describe("a plain response") {
            it(
                "a plain response is buffered until complete, so a broken one is requested again with no partial body",
            ) {
                val assembler = StreamAssembler()
                val caller = RecordingCaller()
                listOf(STARTED, bytes(0), bytes(1)).forEach { caller.read(assembler.accept(it)) }
                assembler.canResume shouldBe true
                assembler.beginAttempt()
                listOf(bytes(1), STARTED, FrameContent.Finished(chunks = 2), bytes(0)).forEach {
                    caller.read(assembler.accept(it))
                }
                caller.text shouldBe "........"
                caller.complete shouldBe true
            }

            it("a plain response cannot be requested again once a part of it has been written") {
                val assembler = StreamAssembler(AssemblyLimits(maximumBufferedBytes = 6))
                listOf(STARTED, bytes(0), bytes(1)).forEach { assembler.accept(it) }
                assembler.canResume shouldBe false
            }
        }
    })
