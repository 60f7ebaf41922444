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
            // Ports from the operating system repeated within four draws: a start failed with "Address already in use".
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
