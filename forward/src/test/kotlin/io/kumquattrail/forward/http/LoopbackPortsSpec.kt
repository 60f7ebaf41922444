package io.kumquattrail.forward.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldNotContain
import java.net.InetAddress
import java.net.ServerSocket

private const val DRAWS = 4_000

class LoopbackPortsSpec :
    DescribeSpec({
        describe("LoopbackPorts") {
            // The operating system may return a free port again within four draws, and a start then fails with "Address
            // already in use".
            it("a loopback port is returned only once") {
                List(DRAWS) { LoopbackPorts.take() }.shouldBeUnique()
            }

            it("a loopback port that is in use is not returned") {
                val taken = LoopbackPorts.take()
                ServerSocket(taken + 1, 1, InetAddress.getLoopbackAddress()).use {
                    List(2) { LoopbackPorts.take() } shouldNotContain it.localPort
                }
            }
        }
    })
