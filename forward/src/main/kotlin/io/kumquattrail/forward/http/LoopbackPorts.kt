package io.kumquattrail.forward.http

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Chooses ports of the loopback interface for listeners that bind them later.
 *
 * A port that the operating system chooses may be assigned again, or used by an outgoing connection, before the
 * listener binds it. The ports chosen here are below the ranges of outgoing connections, and none is returned twice.
 */
object LoopbackPorts {
    // Linux assigns ephemeral ports from 32768 upwards, IANA reserves those from 49152 upwards.
    private val RANGE = 20_000 until 32_768

    private val next = AtomicInteger(Random.nextInt(RANGE.count()))

    /** Returns a port that no program listens on and that was not returned before. */
    fun take(): Int =
        generateSequence { RANGE.first + next.getAndIncrement().mod(RANGE.count()) }
            .take(RANGE.count())
            .first(::isFree)

    private fun isFree(port: Int): Boolean =
        runCatching {
            ServerSocket().use { it.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port)) }
        }.isSuccess
}
