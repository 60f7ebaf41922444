package io.kumquattrail.measure.matrix

/** Lists the faults of the design's fault model. */
internal enum class MatrixFault {
    RANK_STALLS,
    MESSAGE_LATE,
    MESSAGE_LOST,
    MESSAGE_DOUBLED,
    MESSAGE_REORDERED,
    PROCESS_DIES,
    SERVER_SILENTLY_COLD,
    CONFIGURATION_DOWN,
    CONFIGURATION_STALE,
    PROCESS_PAUSED,
    PARTITION,
    REQUEST_CRASHES_SERVERS,
    ;

    val label: String = name.lowercase()
}
