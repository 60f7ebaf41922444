package io.kumquattrail.node.configuration

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kumquattrail.node.settings.SocketAddress
import io.kumquattrail.standin.RawHttpService
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlin.random.Random

private const val LIST = """{"vms":[{"address":"10.0.0.1","zone":"zone-a","state":"leaving"}]}"""
private const val REST = "Content-Length: ${LIST.length}\r\n\r\n$LIST"

class ConfigurationServiceClientSpec :
    DescribeSpec({
        val vertx = Vertx.vertx()
        val service = RawHttpService()
        val client = ConfigurationServiceClient(vertx, listOf(SocketAddress(service.host, service.port)), Random(1))

        afterSpec {
            client.close()
            service.close()
            vertx.close().coAwait()
        }

        // The bytes of a failing replica would take VMs out of service, or bring them back.
        describe("a configuration service that sends a malformed response") {
            mapOf(
                "HTTP/1.1 0200 OK\r\n$REST" to "status is not a number of three digits",
                "HTTP/9.9 200 OK\r\n$REST" to "version is not HTTP/1.x",
                "HTTP/1.1 200 OK\r\nX Bad: 1\r\n$REST" to "byte 0x20 in the name of a field",
                "HTTP/1.1 200 OK\r\nContent Length: 2\r\n$REST" to "byte 0x20 in the name of a field",
                "HTTP/1.1 200 OK\r\n$REST".replace("\r\n\r\n", "\r\n folded\r\n\r\n") to "folded field",
            ).forEach { (malformed, fault) ->
                it("is not read, as there is a ${fault.replace("is not", "that is not")}") {
                    service.response = malformed
                    withClue(malformed) {
                        val error = client.virtualMachines().getError()
                        error.shouldBeInstanceOf<ServiceReadError.Unreachable>().cause shouldContain fault
                    }
                }
            }
        }

        // A check that is too strict would leave the process without configuration.
        it("reads a well-formed response in chunks") {
            service.response =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${LIST.length.toString(16)}\r\n$LIST\r\n0\r\n\r\n"
            client.virtualMachines().getOrThrow { IllegalStateException("$it") } shouldBe
                listOf(ListedVirtualMachine("10.0.0.1", "zone-a", leaving = true))
        }
    })
