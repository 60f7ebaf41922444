package io.kumquattrail.node.settings

/** Holds an IP address and a TCP port. */
data class SocketAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private const val HIGHEST_PORT = 65_535
        private const val HIGHEST_OCTET = 255
        private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
        private val IPV6 = Regex("""[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")

        /** Parses `IPV4:PORT` or `[IPV6]:PORT`; returns `null` for host names and malformed text. */
        fun parse(text: String): SocketAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 0..HIGHEST_PORT } ?: return null
            val host = text.substringBeforeLast(':')
            if (host.startsWith('[') && host.endsWith(']')) {
                return host
                    .drop(1)
                    .dropLast(1)
                    .takeIf(IPV6::matches)
                    ?.let { SocketAddress(it, port) }
            }
            val octets = IPV4.matchEntire(host)?.groupValues?.drop(1) ?: return null
            return SocketAddress(host, port).takeIf { octets.all { octet -> octet.toInt() <= HIGHEST_OCTET } }
        }
    }
}
