package io.kumquattrail.forward.http

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Ports of the loopback interface for listeners that start later than their port is chosen.
 *
 * A port that the operating system hands out may be handed out again, or be taken by an outgoing connection, before
 * the listener binds it. These ports are below the ranges of outgoing connections, and none is given twice.
 */
object LoopbackPorts {
    // Linux hands out ports from 32768 on, IANA reserves those from 49152 on.
    private val RANGE = 20_000 until 32_768

    private val next = AtomicInteger(Random.nextInt(RANGE.count()))

    /** A port that no program listens on, other than all ports before. */
    fun take(): Int =
        generateSequence { RANGE.first + next.getAndIncrement().mod(RANGE.count()) }
            .take(RANGE.count())
            .first(::isFree)

    private fun isFree(port: Int): Boolean =
        runCatching {
            ServerSocket().use { it.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port)) }
        }.isSuccess
}
