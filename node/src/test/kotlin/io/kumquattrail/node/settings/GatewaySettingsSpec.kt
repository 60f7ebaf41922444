package io.kumquattrail.node.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

private val VALID =
    """
    [node]
    zone = "zone-a"
    rpc_address = "127.0.0.1:7000"
    operations_address = "127.0.0.1:7001"

    [configuration]
    services = ["127.0.0.1:7100"]

    [gateway]
    callers_address = "127.0.0.1:8080"
    default_timeout = "30s"
    """.trimIndent()

private fun file(text: String): Path =
    Files.createTempFile("settings", ".toml").also {
        Files.writeString(it, text)
        it.toFile().deleteOnExit()
    }

private fun errors(text: String): List<SettingsError> = GatewaySettings.load(file(text)).getError().shouldNotBeNull()

class GatewaySettingsSpec :
    DescribeSpec({
        describe("settings of a gateway") {
            it("are read with units and defaults") {
                val settings = GatewaySettings.load(file(VALID)).getOrThrow { error(it.toString()) }
                settings.defaultTimeout shouldBe 30.seconds
                settings.longestTimeout shouldBe 600.seconds
                settings.callers shouldBe SocketAddress("127.0.0.1", 8080)
            }

            it("name a misspelt key with its line instead of ignoring it") {
                val found = errors(VALID + "\nlargest_boddy = 5")
                found shouldBe listOf(SettingsError.UnknownKey("gateway.largest_boddy", line = 12))
            }

            it("name a bad unit") {
                val found = errors(VALID.replace("\"30s\"", "\"30 seconds\"")).single()
                found.shouldBeInstanceOf<SettingsError.InvalidValue>().key shouldBe "gateway.default_timeout"
                found.line shouldBe 11
            }

            it("refuse host names, because peers are named by IP address") {
                val found = errors(VALID.replace("127.0.0.1:7000", "localhost:7000")).single()
                found.shouldBeInstanceOf<SettingsError.InvalidValue>().key shouldBe "node.rpc_address"
            }

            it("report every error at once, so that an operator does not fix them one by one") {
                val text = VALID.replace("zone = \"zone-a\"", "").replace("\"30s\"", "\"0s\"")
                errors(text).map { it.key } shouldContainExactlyInAnyOrder
                    listOf("node.zone", "gateway.default_timeout")
            }

            it("report a syntax error with its line") {
                errors("[node\nzone = 1").single().shouldBeInstanceOf<SettingsError.Syntax>()
            }

            it("report a missing file") {
                val found = GatewaySettings.load(Path.of("missing.toml")).getError().shouldNotBeNull()
                found.single().shouldBeInstanceOf<SettingsError.Unreadable>()
            }
        }
    })
