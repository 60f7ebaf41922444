package io.kumquattrail.forward.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldNotContain
import java.net.InetAddress
import java.net.ServerSocket

private const val DRAWS = 4_000

class LoopbackPortsSpec :
    DescribeSpec({
        describe("ports of the loopback interface") {
            // Ports of the operating system repeated within four draws and failed a start with "Address already in use".
            it("are given once") {
                List(DRAWS) { LoopbackPorts.take() }.shouldBeUnique()
            }

            it("leave out those in use") {
                val taken = LoopbackPorts.take()
                ServerSocket(taken + 1, 1, InetAddress.getLoopbackAddress()).use {
                    List(2) { LoopbackPorts.take() } shouldNotContain it.localPort
                }
            }
        }
    })
