package io.kumquattrail.decision.expert.replica

/** Phase of a map switch. */
enum class MapSwitchPhase {
    /** Ranks copy the experts of the new map. */
    PREPARING,

    /** The first rank is ordered to hold the group before the pass at which ranks switch. */
    HOLDING,

    /** It is unknown whether the group is held; it is released before another pass is tried. */
    UNHOLDING,

    /** Ranks are ordered to switch at the chosen pass. */
    ARMING,

    /** All ranks have confirmed that they will switch; the group is released. */
    RELEASING,

    /** Ranks are ordered to prepare a newer version, after which they refuse to switch to the version of this one. */
    SUPERSEDING,

    /** No rank can switch to the version any more; the group is released. */
    RELEASING_UNCHANGED,

    /** All ranks use or will use the new map. */
    DONE,

    /** The switch has ended without changing the map, or another process has released the group. */
    ABANDONED,

    /** Another process has taken over the group and ends the switch. */
    FENCED,
}
