package io.kumquattrail.decision.architecture

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readLines

private val SOURCES: Path = Path.of("src", "main", "kotlin")

private val FORBIDDEN =
    listOf(
        Regex("""\bjava\.net\."""),
        Regex("""\bjava\.nio\."""),
        Regex("""\bjava\.io\."""),
        Regex("""\bio\.(grpc|vertx|netty)\."""),
        Regex("""\bjava\.util\.Timer\b"""),
        Regex("""\bThread\b"""),
        Regex("""\bSystem\.(nanoTime|currentTimeMillis)"""),
        Regex("""\bRandom\.Default\b"""),
        Regex("""\bMath\.random\b"""),
        Regex("""\bUUID\.randomUUID\b"""),
        Regex("""\bkotlinx\.coroutines\b"""),
        Regex("""\b(Clock\.System|TimeSource\.Monotonic|Instant\.now)\b"""),
    )

class DecisionModuleSpec :
    DescribeSpec({
        describe("the decision module") {
            val files = Files.walk(SOURCES).use { paths -> paths.filter { it.extension == "kt" }.toList() }

            it("has sources to check, so that a moved folder cannot make this test pass") {
                files.shouldNotBeEmpty()
            }

            it("uses no sockets, clocks, threads or random sources of its own, which would escape virtual time") {
                val violations =
                    files.flatMap { file ->
                        file.readLines().mapIndexedNotNull { index, line ->
                            FORBIDDEN.find { it.containsMatchIn(line) }?.let { "${file.name}:${index + 1} $line" }
                        }
                    }
                violations.shouldBeEmpty()
            }
        }
    })
